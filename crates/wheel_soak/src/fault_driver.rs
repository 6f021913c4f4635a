//! Carries a plan out.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use wheel_harness::{LinkRelay, LinkState};

use crate::soak_process::{CLOCK_SEAM, DISK_SEAM};
use crate::soak_system::{CONTROL_COUNT, GRACE};
use crate::{
    FaultKind, FaultPlan, FaultTarget, ListStandIn, ObservationSink, OperatorSide, PlannedFault,
    SeenEvent, SoakSystem, UpstreamStandIn,
};

/// How late a delayed link passes things on.
const LINK_DELAY: Duration = Duration::from_millis(150);
/// From SIGTERM to what follows while the process drains.
const DRAIN_STEP: Duration = Duration::from_millis(300);
/// Between two processes that are told to end in a series.
const SERIES_STEP: Duration = Duration::from_millis(600);
/// From an upstream's leaving to its end.
pub(crate) const LEAVE_TIME: Duration = Duration::from_millis(3_000);
/// From an upstream's end until its address is used again.
pub(crate) const REUSE_TIME: Duration = Duration::from_secs(2);
/// The wait for a process that was told to end: its grace, and its start.
const END_LIMIT: Duration = Duration::from_secs(GRACE.as_secs() + 2);
const END_POLL: Duration = Duration::from_millis(20);

/// All that faults act on; cheap to clone.
#[derive(Clone)]
pub struct FaultDriver {
    /// The processes.
    pub system: Arc<SoakSystem>,
    /// The upstreams.
    pub upstreams: Arc<[UpstreamStandIn]>,
    /// The list.
    pub list: Arc<ListStandIn>,
    /// The links between callers and the entries, in the entries' order.
    pub caller_links: Arc<[LinkRelay]>,
    /// The operators.
    pub operators: OperatorSide,
    /// Hears of all faults.
    pub sink: ObservationSink,
}

impl FaultDriver {
    /// Carries out `plan`; returns after the last fault has ended, and tells so.
    pub async fn run(&self, plan: &FaultPlan) {
        let start = tokio::time::Instant::now();
        let mut running = JoinSet::new();
        for (number, fault) in plan.faults.iter().copied().enumerate() {
            tokio::time::sleep_until(start + fault.at).await;
            let driver = self.clone();
            running.spawn(async move { driver.inject(number, fault).await });
        }
        running.join_all().await;
        self.sink.note(SeenEvent::LastFaultEnded);
    }

    async fn inject(&self, number: usize, fault: PlannedFault) {
        let targets = self.target_names(&fault);
        let kind: Arc<str> = fault.name.into();
        for target in &targets {
            let (kind, target) = (Arc::clone(&kind), Arc::clone(target));
            self.sink.note(SeenEvent::FaultBegan { kind, target });
        }
        match fault.target {
            FaultTarget::Process(place) => self.harm_process(place, &fault).await,
            FaultTarget::Entries => self.stop_entries(&fault).await,
            FaultTarget::Control => {
                for place in 0..CONTROL_COUNT {
                    self.system.with(place, |process| process.kill(fault.lasts, false));
                }
                self.wait_up(0..CONTROL_COUNT).await;
            }
            FaultTarget::CallerLink(place) => {
                let link = &self.caller_links[place - CONTROL_COUNT];
                link.set(link_state(fault.kind));
                tokio::time::sleep(fault.lasts).await;
                link.set(LinkState::Open);
            }
            FaultTarget::UpstreamLink(place) => {
                self.upstreams[place].set_link(link_state(fault.kind));
                tokio::time::sleep(fault.lasts).await;
                self.upstreams[place].set_link(LinkState::Open);
            }
            FaultTarget::Upstream(place) => self.harm_upstream(number, place, &fault).await,
            FaultTarget::List => {
                if let FaultKind::List(wrong) = fault.kind {
                    self.list.set_fault(Some(wrong));
                }
                tokio::time::sleep(fault.lasts).await;
                self.list.set_fault(None);
            }
            FaultTarget::Operators => match fault.kind {
                FaultKind::ChangeStorm => self.operators.storm().await,
                FaultKind::ChangeRace => self.operators.race().await,
                _ => self.operators.send_invalid().await,
            },
        }
        for target in targets {
            self.sink.note(SeenEvent::FaultEnded { kind: Arc::clone(&kind), target });
        }
    }

    /// The names of those that a fault acts on; a link's are those of its ends.
    fn target_names(&self, fault: &PlannedFault) -> Vec<Arc<str>> {
        let names = |places: std::ops::Range<usize>| {
            places.map(|place| self.system.name(place)).collect::<Vec<_>>()
        };
        match fault.target {
            FaultTarget::Process(place) => names(place..place + 1),
            FaultTarget::Entries => {
                self.stopped_entries(fault).map(|it| self.system.name(it)).collect()
            }
            FaultTarget::Control => names(0..CONTROL_COUNT),
            FaultTarget::CallerLink(place) => {
                vec![format!("callers>{}", self.system.name(place)).into()]
            }
            FaultTarget::UpstreamLink(place) => {
                vec![format!("entries>{}", self.upstreams[place].id()).into()]
            }
            FaultTarget::Upstream(place) if fault.kind == FaultKind::AddressReused => {
                vec![self.upstreams[place].id(), self.upstreams[self.partner(place)].id()]
            }
            FaultTarget::Upstream(place) => vec![self.upstreams[place].id()],
            FaultTarget::List => vec!["list".into()],
            FaultTarget::Operators => vec!["operators".into()],
        }
    }

    fn stopped_entries(&self, fault: &PlannedFault) -> std::ops::Range<usize> {
        match fault.kind {
            FaultKind::TerminatePair => CONTROL_COUNT..self.system.count().min(CONTROL_COUNT + 2),
            _ => CONTROL_COUNT..self.system.count(),
        }
    }

    async fn harm_process(&self, place: usize, fault: &PlannedFault) {
        let with = |act: &mut dyn FnMut(&mut crate::SoakProcess)| {
            self.system.with(place, |process| act(process));
        };
        match fault.kind {
            FaultKind::Reload => with(&mut |process| process.reload()),
            FaultKind::Kill => with(&mut |process| process.kill(fault.lasts, false)),
            FaultKind::Wipe => with(&mut |process| process.kill(fault.lasts, true)),
            FaultKind::RestartAtOnce => with(&mut |process| process.terminate(Duration::ZERO)),
            FaultKind::Freeze => {
                with(&mut |process| process.freeze());
                tokio::time::sleep(fault.lasts).await;
                with(&mut |process| process.thaw());
            }
            kind if seam_file(kind).is_some() => {
                let (extension, line) = seam_file(kind).unwrap_or_default();
                let write = |line: &str| {
                    self.system.with(place, |process| process.write_seam(extension, line));
                };
                write(line);
                tokio::time::sleep(fault.lasts).await;
                write("");
            }
            FaultKind::SecondSignal => {
                with(&mut |process| process.terminate(fault.lasts));
                tokio::time::sleep(DRAIN_STEP).await;
                with(&mut |process| process.terminate(fault.lasts));
            }
            FaultKind::ReloadWhileDraining => {
                with(&mut |process| process.terminate(fault.lasts));
                tokio::time::sleep(DRAIN_STEP).await;
                with(&mut |process| process.reload());
            }
            _ => with(&mut |process| process.terminate(fault.lasts)),
        }
        self.wait_up(place..place + 1).await;
    }

    async fn stop_entries(&self, fault: &PlannedFault) {
        let places = self.stopped_entries(fault);
        for place in places.clone() {
            self.system.with(place, |process| process.terminate(fault.lasts));
            if fault.kind == FaultKind::TerminateSeries {
                tokio::time::sleep(SERIES_STEP).await;
            }
        }
        self.wait_up(places).await;
    }

    /// Waits until all that were stopped are started again.
    async fn wait_up(&self, places: std::ops::Range<usize>) {
        let waiting = async {
            let is_up = |place| self.system.with(place, |process| process.is_up());
            while !places.clone().all(is_up) {
                tokio::time::sleep(END_POLL).await;
            }
        };
        // A killed child is seen as running until it is looked at.
        tokio::time::sleep(2 * END_POLL).await;
        let limit = END_LIMIT + Duration::from_secs(4);
        let _ = tokio::time::timeout(limit, waiting).await;
    }

    /// An upstream of another service than that at `place`.
    fn partner(&self, place: usize) -> usize {
        let service = self.upstreams[place].service();
        let found = self.upstreams.iter().position(|upstream| upstream.service() != service);
        found.unwrap_or(place)
    }

    async fn harm_upstream(&self, number: usize, place: usize, fault: &PlannedFault) {
        let upstream = &self.upstreams[place];
        match fault.kind {
            FaultKind::Upstream(wrong) => {
                upstream.set_fault(Some(wrong));
                tokio::time::sleep(fault.lasts).await;
                upstream.set_fault(None);
            }
            FaultKind::UpstreamCrash => {
                upstream.stop();
                tokio::time::sleep(fault.lasts).await;
                upstream.start(upstream.id(), upstream.service());
            }
            FaultKind::UpstreamReplaced => {
                upstream.leave();
                tokio::time::sleep(LEAVE_TIME + fault.lasts).await;
                upstream.stop();
                tokio::time::sleep(REUSE_TIME).await;
                upstream.start(next_id(upstream.service(), number), upstream.service());
            }
            _ => {
                let other = &self.upstreams[self.partner(place)];
                let (service, other_service) = (upstream.service(), other.service());
                upstream.stop();
                other.stop();
                tokio::time::sleep(REUSE_TIME).await;
                upstream.start(next_id(other_service, number), other_service);
                other.start(next_id(service, number), service);
            }
        }
    }
}

/// An id that no upstream had before.
fn next_id(service: &str, number: usize) -> Arc<str> {
    format!("{service}-r{number}").into()
}

/// The seam that a kind acts through: its file's extension and what is written into it.
pub(crate) fn seam_file(kind: FaultKind) -> Option<(&'static str, &'static str)> {
    match kind {
        FaultKind::DiskSlow => Some((DISK_SEAM, "mode=slow sync_ms=200")),
        FaultKind::DiskStalled => Some((DISK_SEAM, "mode=stalled stall_ms=3000")),
        FaultKind::DiskFull => Some((DISK_SEAM, "mode=full")),
        FaultKind::ClockDay => Some((CLOCK_SEAM, "day_shift_ms=-30000")),
        FaultKind::ClockBoot => Some((CLOCK_SEAM, "boot_ahead_ms=5000")),
        _ => None,
    }
}

fn link_state(kind: FaultKind) -> LinkState {
    match kind {
        FaultKind::LinkDelay => LinkState::Delayed(LINK_DELAY),
        FaultKind::LinkReset => LinkState::Resetting,
        FaultKind::LinkOneWay => LinkState::OneWay,
        FaultKind::LinkTrickle => LinkState::Trickling,
        _ => LinkState::Silent,
    }
}
