//! Injects the faults of a plan.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::task::JoinSet;
use wheel_harness::{LinkRelay, LinkState};

use crate::config_document::ENGINE_SERVICE;
use crate::soak_process::{CLOCK_SEAM, DISK_SEAM};
use crate::soak_system::{CONTROL_COUNT, GRACE};
use crate::{
    FaultKind, FaultPlan, FaultTarget, ListStub, ObservationSink, OperatorClient, PlannedFault,
    SeenEvent, SoakSystem, UpstreamStub,
};

/// Delay of a delayed link.
const LINK_DELAY: Duration = Duration::from_millis(150);
/// Pause between SIGTERM and a second signal to the draining process.
const DRAIN_PAUSE: Duration = Duration::from_millis(300);
/// Pause between the terminations of two processes in a series.
const SERIES_PAUSE: Duration = Duration::from_millis(600);
/// Time from an upstream's announcement that it leaves to its stop.
pub(crate) const LEAVE_TIME: Duration = Duration::from_millis(3_000);
/// Time from an upstream's stop until its address is used again.
pub(crate) const REUSE_TIME: Duration = Duration::from_secs(2);
/// Number of holders of the order authority that are stopped one after another.
const STOPPED_HOLDERS: usize = 2;
/// Time limit for the next order, which covers an election and the pause of a new holder.
pub(crate) const HOLDER_LIMIT: Duration = Duration::from_secs(5);
/// Time after which the spare control instance has replaced one that was killed.
const REPLACED_TIME: Duration = Duration::from_millis(4_500);
/// Time to take a control instance in again, around which no other one is disturbed.
pub(crate) const CATCH_UP: Duration = Duration::from_secs(6);
/// Downtime of a control instance that loses its data.
const LOSS_PAUSE: Duration = Duration::from_secs(1);
/// Time from the return of the one that was replaced to the end of the fault: two times to take one
/// in, two restarts and a loss.
pub(crate) const REPLACE_LIMIT: Duration = Duration::from_secs(22);
const ORDER_POLL: Duration = Duration::from_millis(5);
/// Limit for the restart of a terminated process, which includes its grace period.
const END_LIMIT: Duration = Duration::from_secs(GRACE.as_secs() + 2);
const END_POLL: Duration = Duration::from_millis(20);

/// Injects faults into the system and its environment; cheap to clone.
#[derive(Clone)]
pub struct FaultDriver {
    /// The processes.
    pub system: Arc<SoakSystem>,
    /// The upstreams.
    pub upstreams: Arc<[UpstreamStub]>,
    /// The platform's instance list.
    pub list: Arc<ListStub>,
    /// The links between callers and ingress instances, in the order of the instances.
    pub caller_links: Arc<[LinkRelay]>,
    /// The operators.
    pub operators: OperatorClient,
    /// Records all faults.
    pub sink: ObservationSink,
}

impl FaultDriver {
    /// Injects the faults of `plan`. Returns after the last fault has ended, which is recorded.
    pub async fn run(&self, plan: &FaultPlan) {
        let start = tokio::time::Instant::now();
        let mut running = JoinSet::new();
        for (number, fault) in plan.faults.iter().copied().enumerate() {
            tokio::time::sleep_until(start + fault.at).await;
            let driver = self.clone();
            running.spawn(async move { driver.inject(number, fault).await });
        }
        running.join_all().await;
        self.sink.record(SeenEvent::LastFaultEnded);
    }

    async fn inject(&self, number: usize, fault: PlannedFault) {
        let targets = self.target_names(&fault);
        let kind: Arc<str> = fault.name.into();
        for target in &targets {
            let (kind, target) = (Arc::clone(&kind), Arc::clone(target));
            self.sink.record(SeenEvent::FaultBegan { kind, target });
        }
        match fault.target {
            FaultTarget::Process(index) => self.inject_process_fault(index, &fault).await,
            FaultTarget::Entries => self.stop_ingresses(&fault).await,
            FaultTarget::Control if fault.kind == FaultKind::HolderStop => {
                self.stop_holders(&fault).await;
            }
            FaultTarget::Control => match fault.kind {
                FaultKind::VoterReplaced { away } => self.replace_voter(away, &fault).await,
                _ => {
                    for index in self.system.controls() {
                        self.system.with(index, |process| process.kill(fault.duration, false));
                    }
                    self.wait_until_up(self.system.controls()).await;
                }
            },
            FaultTarget::CallerLink(index) => {
                let link = &self.caller_links[index - CONTROL_COUNT];
                link.set(link_state(fault.kind));
                tokio::time::sleep(fault.duration).await;
                link.set(LinkState::Open);
            }
            FaultTarget::UpstreamLink(index) => {
                self.upstreams[index].set_link(link_state(fault.kind));
                tokio::time::sleep(fault.duration).await;
                self.upstreams[index].set_link(LinkState::Open);
            }
            FaultTarget::Upstream(index) => self.inject_upstream_fault(number, index, &fault).await,
            FaultTarget::AllUpstreams => {
                let indexes = 0..self.upstreams.len();
                join_all(indexes.map(|index| self.inject_upstream_fault(number, index, &fault)))
                    .await;
            }
            FaultTarget::List => {
                if let FaultKind::List(list_fault) = fault.kind {
                    self.list.set_fault(Some(list_fault));
                }
                tokio::time::sleep(fault.duration).await;
                self.list.set_fault(None);
            }
            FaultTarget::Operators => match fault.kind {
                FaultKind::ChangeStorm => self.operators.storm().await,
                FaultKind::ChangeRace => self.operators.race().await,
                _ => self.operators.send_invalid().await,
            },
        }
        for target in targets {
            self.sink.record(SeenEvent::FaultEnded { kind: Arc::clone(&kind), target });
        }
    }

    /// The names of the targets of a fault; a link is named after both ends.
    fn target_names(&self, fault: &PlannedFault) -> Vec<Arc<str>> {
        let names = |indexes: std::ops::Range<usize>| {
            indexes.map(|index| self.system.name(index)).collect::<Vec<_>>()
        };
        match fault.target {
            FaultTarget::Process(index) => names(index..index + 1),
            FaultTarget::Entries => {
                self.stopped_ingresses(fault).map(|it| self.system.name(it)).collect()
            }
            FaultTarget::Control if fault.kind == FaultKind::HolderStop => vec!["holders".into()],
            FaultTarget::Control => {
                self.system.controls().map(|index| self.system.name(index)).collect()
            }
            FaultTarget::CallerLink(index) => {
                vec![format!("callers>{}", self.system.name(index)).into()]
            }
            FaultTarget::UpstreamLink(index) => {
                vec![format!("entries>{}", self.upstreams[index].id()).into()]
            }
            FaultTarget::Upstream(index) if fault.kind == FaultKind::AddressReused => {
                vec![self.upstreams[index].id(), self.upstreams[self.exchange_partner(index)].id()]
            }
            FaultTarget::Upstream(index) => vec![self.upstreams[index].id()],
            FaultTarget::AllUpstreams => self.upstreams.iter().map(UpstreamStub::id).collect(),
            FaultTarget::List => vec!["list".into()],
            FaultTarget::Operators => vec!["operators".into()],
        }
    }

    fn stopped_ingresses(&self, fault: &PlannedFault) -> std::ops::Range<usize> {
        match fault.kind {
            FaultKind::TerminatePair => CONTROL_COUNT..self.system.count().min(CONTROL_COUNT + 2),
            _ => CONTROL_COUNT..self.system.count(),
        }
    }

    async fn inject_process_fault(&self, index: usize, fault: &PlannedFault) {
        let with = |act: &mut dyn FnMut(&mut crate::SoakProcess)| {
            self.system.with(index, |process| act(process));
        };
        match fault.kind {
            FaultKind::Reload => with(&mut |process| process.reload()),
            FaultKind::Kill => with(&mut |process| process.kill(fault.duration, false)),
            FaultKind::Wipe => with(&mut |process| process.kill(fault.duration, true)),
            FaultKind::RestartAtOnce => with(&mut |process| process.terminate(Duration::ZERO)),
            FaultKind::Freeze => {
                with(&mut |process| process.freeze());
                tokio::time::sleep(fault.duration).await;
                with(&mut |process| process.resume());
            }
            kind if seam_file(kind).is_some() => {
                let (extension, line) = seam_file(kind).unwrap_or_default();
                let write = |line: &str| {
                    self.system.with(index, |process| process.write_seam(extension, line));
                };
                write(line);
                tokio::time::sleep(fault.duration).await;
                write("");
            }
            FaultKind::SecondSignal => {
                with(&mut |process| process.terminate(fault.duration));
                tokio::time::sleep(DRAIN_PAUSE).await;
                with(&mut |process| process.terminate(fault.duration));
            }
            FaultKind::ReloadWhileDraining => {
                with(&mut |process| process.terminate(fault.duration));
                tokio::time::sleep(DRAIN_PAUSE).await;
                with(&mut |process| process.reload());
            }
            _ => with(&mut |process| process.terminate(fault.duration)),
        }
        self.wait_until_up(index..index + 1).await;
    }

    async fn stop_ingresses(&self, fault: &PlannedFault) {
        let indexes = self.stopped_ingresses(fault);
        for index in indexes.clone() {
            self.system.with(index, |process| process.terminate(fault.duration));
            if fault.kind == FaultKind::TerminateSeries {
                tokio::time::sleep(SERIES_PAUSE).await;
            }
        }
        self.wait_until_up(indexes).await;
    }

    /// Has all engines lose their models, stops the control instance that sends the next order, and has
    /// orders due for its successor at once; then does the same with the successor.
    async fn stop_holders(&self, fault: &PlannedFault) {
        let is_engine = |upstream: &&UpstreamStub| upstream.service() == ENGINE_SERVICE;
        let crash = || self.upstreams.iter().filter(is_engine).for_each(UpstreamStub::crash);
        for _ in 0..STOPPED_HOLDERS {
            crash();
            let next = tokio::time::timeout(HOLDER_LIMIT, self.next_holder());
            let Ok(index) = next.await else { return };
            self.system.with(index, |process| process.terminate(fault.duration));
            crash();
            self.wait_until_up(index..index + 1).await;
        }
    }

    /// Has the spare control instance replace the one at `away` and lead before that is back, and a
    /// second one lose its data once there was time to take the first one in again.
    async fn replace_voter(&self, away: usize, fault: &PlannedFault) {
        self.system.with(away, |process| process.kill(fault.duration, false));
        tokio::time::sleep(REPLACED_TIME).await;
        let others: Vec<usize> = (0..CONTROL_COUNT).filter(|index| *index != away).collect();
        for index in others.iter().copied() {
            self.system.with(index, |process| process.terminate(Duration::ZERO));
            self.wait_until_up(index..index + 1).await;
        }
        self.wait_until_up(away..away + 1).await;
        tokio::time::sleep(CATCH_UP).await;
        if let Some(lost) = others.last().copied() {
            self.system.with(lost, |process| process.kill(LOSS_PAUSE, true));
            self.wait_until_up(lost..lost + 1).await;
        }
        tokio::time::sleep(CATCH_UP).await;
    }

    /// Waits for the next order of a running control instance, and returns its index.
    async fn next_holder(&self) -> usize {
        let from = self.sink.now();
        loop {
            tokio::time::sleep(ORDER_POLL).await;
            let orders = self.upstreams.iter().filter_map(UpstreamStub::last_order);
            let holder = orders.filter(|(at, _)| *at > from).max().map(|(_, holder)| holder);
            let is_holder = |index: &usize| holder == Some(self.system.name(*index));
            let index = self.system.controls().find(is_holder);
            if let Some(index) = index.filter(|at| self.system.with(*at, |process| process.is_up()))
            {
                return index;
            }
        }
    }

    /// Waits until all stopped processes have been restarted.
    async fn wait_until_up(&self, indexes: impl Iterator<Item = usize> + Clone) {
        let waiting = async {
            let is_up = |index| self.system.with(index, |process| process.is_up());
            while !indexes.clone().all(is_up) {
                tokio::time::sleep(END_POLL).await;
            }
        };
        // A killed child counts as running until it is polled.
        tokio::time::sleep(2 * END_POLL).await;
        let limit = END_LIMIT + Duration::from_secs(4);
        let _ = tokio::time::timeout(limit, waiting).await;
    }

    /// The index of an upstream of another service than that of the upstream at `index`.
    fn exchange_partner(&self, index: usize) -> usize {
        let service = self.upstreams[index].service();
        let found = self.upstreams.iter().position(|upstream| upstream.service() != service);
        found.unwrap_or(index)
    }

    async fn inject_upstream_fault(&self, number: usize, index: usize, fault: &PlannedFault) {
        let upstream = &self.upstreams[index];
        match fault.kind {
            FaultKind::Upstream(upstream_fault) => {
                upstream.set_fault(Some(upstream_fault));
                tokio::time::sleep(fault.duration).await;
                upstream.set_fault(None);
            }
            FaultKind::UpstreamCrash => {
                upstream.stop();
                tokio::time::sleep(fault.duration).await;
                upstream.start(upstream.id(), upstream.service());
            }
            FaultKind::UpstreamReplaced => {
                upstream.leave();
                tokio::time::sleep(LEAVE_TIME + fault.duration).await;
                upstream.stop();
                tokio::time::sleep(REUSE_TIME).await;
                upstream.start(next_id(upstream.service(), number), upstream.service());
            }
            _ => {
                let other = &self.upstreams[self.exchange_partner(index)];
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

/// An id that no upstream has had before.
fn next_id(service: &str, number: usize) -> Arc<str> {
    format!("{service}-r{number}").into()
}

/// The test seam that injects a kind of fault: the extension of its file and the line to write.
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
