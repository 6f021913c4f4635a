//! The faults of a run, drawn from its seed.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fault_driver::{LEAVE_TIME, REUSE_TIME, seam_file};
use crate::soak_system::{CONTROL_COUNT, GRACE};
use crate::{FaultKind, FaultTarget, ListFault, PlannedFault, UpstreamFault};

/// Faults that act at once, at most.
const MOST_AT_ONCE: usize = 3;
/// Milliseconds between the beginnings of two faults.
const GAP_MS: Range<u64> = 200..1_800;
/// Time around the loss of a disk in which no other control instance is disturbed: what it lost is
/// copied anew in this time.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Milliseconds that a fault lasts: most of them; those of a moment; a freeze, which is longer than the
/// lease and than a confirmation of the right to order; a process that is away.
const USUAL: Range<u64> = 500..4_000;
const MOMENT: Range<u64> = 50..200;
const PAST_LEASE: Range<u64> = 1_800..4_500;
const AWAY: Range<u64> = 200..3_000;

/// From whom a target is drawn.
#[derive(Clone, Copy)]
enum TargetGroup {
    /// Any process, entries more often.
    Process,
    Entries,
    /// One control instance, or all.
    Control,
    AllControl,
    /// A link before an entry or before an upstream.
    Link,
    Upstream,
    List,
    Operators,
}

/// A kind, its name, how often it is drawn, from whom, and how long it lasts.
type KindRow = (FaultKind, &'static str, u32, TargetGroup, Range<u64>);

const KINDS: [KindRow; 37] = {
    use FaultKind::*;
    use TargetGroup as On;
    use UpstreamFault::*;
    [
        (Terminate, "terminate", 6, On::Process, AWAY),
        (TerminateSeries, "terminate", 2, On::Entries, AWAY),
        (TerminatePair, "terminate", 2, On::Entries, AWAY),
        (SecondSignal, "second_signal", 2, On::Process, AWAY),
        (ReloadWhileDraining, "terminate", 2, On::Process, AWAY),
        (Reload, "reload", 1, On::Process, MOMENT),
        (RestartAtOnce, "restart", 3, On::Process, MOMENT),
        (Kill, "kill", 4, On::Process, AWAY),
        (KillControl, "kill", 1, On::AllControl, AWAY),
        (Freeze, "freeze", 4, On::Process, PAST_LEASE),
        (Wipe, "wipe", 2, On::Control, AWAY),
        (DiskSlow, "disk_slow", 2, On::Control, USUAL),
        (DiskStalled, "disk_stalled", 2, On::Control, USUAL),
        (DiskFull, "disk_full", 2, On::Control, USUAL),
        (ClockDay, "clock_day", 2, On::Process, USUAL),
        (ClockBoot, "clock_boot", 2, On::Process, USUAL),
        (LinkDelay, "link_delay", 2, On::Link, USUAL),
        (LinkReset, "link_reset", 3, On::Link, MOMENT),
        (LinkOneWay, "link_one_way", 2, On::Link, USUAL),
        (LinkSilence, "link_silence", 2, On::Link, USUAL),
        (LinkTrickle, "link_trickle", 2, On::Link, USUAL),
        (Upstream(Hang), "upstream_hang", 2, On::Upstream, USUAL),
        (Upstream(Late), "upstream_late", 2, On::Upstream, USUAL),
        (Upstream(Fail), "upstream_fail", 1, On::Upstream, USUAL),
        (Upstream(Crossed), "upstream_crossed", 2, On::Upstream, USUAL),
        (Upstream(Doubled), "upstream_doubled", 2, On::Upstream, USUAL),
        (Upstream(Unframed), "upstream_unframed", 2, On::Upstream, USUAL),
        (Upstream(Cut), "upstream_cut", 2, On::Upstream, USUAL),
        (UpstreamCrash, "upstream_crash", 3, On::Upstream, USUAL),
        (UpstreamReplaced, "upstream_replaced", 3, On::Upstream, USUAL),
        (AddressReused, "address_reused", 1, On::Upstream, MOMENT),
        (List(ListFault::Lags), "list_lags", 1, On::List, USUAL),
        (List(ListFault::Fails), "list_fails", 1, On::List, USUAL),
        (List(ListFault::Unreadable), "list_unreadable", 1, On::List, USUAL),
        (ChangeStorm, "configuration", 3, On::Operators, MOMENT),
        (ChangeRace, "configuration", 3, On::Operators, MOMENT),
        (InvalidChange, "configuration", 2, On::Operators, MOMENT),
    ]
};

/// What a plan is drawn for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanScope {
    /// Chooses everything.
    pub seed: u64,
    /// Processes, the control instances first.
    pub processes: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Whether the program has the seams of tests, by which disks and clocks are harmed.
    pub has_seams: bool,
    /// The time in which faults begin.
    pub length: Duration,
}

/// All faults of a run in the order of their beginnings; the same for the same scope.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws a plan.
    pub fn draw(scope: &PlanScope) -> Self {
        let mut random = StdRng::seed_from_u64(scope.seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut at = Duration::from_millis(random.random_range(GAP_MS));
        while at < scope.length {
            let fault = draw_fault(&mut random, scope, at);
            faults.extend(fault.filter(|fault| may_join(&faults, fault)));
            at += Duration::from_millis(random.random_range(GAP_MS));
        }
        Self { faults }
    }
}

impl fmt::Display for FaultPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults.iter().try_for_each(|fault| writeln!(formatter, "{fault}"))
    }
}

fn draw_fault(random: &mut StdRng, scope: &PlanScope, at: Duration) -> Option<PlannedFault> {
    let is_possible = |kind: FaultKind| scope.has_seams || seam_file(kind).is_none();
    let weight = |(kind, _, weight, ..): &KindRow| if is_possible(*kind) { *weight } else { 0 };
    let row = KINDS.choose_weighted(random, weight);
    let (kind, name, _, group, lasts) = row.ok()?.clone();
    let lasts = Duration::from_millis(random.random_range(lasts));
    let is_entry_side = random.random_bool(0.5);
    let entry = random.random_range(CONTROL_COUNT..scope.processes);
    let target = match group {
        TargetGroup::Process if is_entry_side => FaultTarget::Process(entry),
        TargetGroup::Process => FaultTarget::Process(random.random_range(0..scope.processes)),
        TargetGroup::Entries => FaultTarget::Entries,
        TargetGroup::Control => FaultTarget::Process(random.random_range(0..CONTROL_COUNT)),
        TargetGroup::AllControl => FaultTarget::Control,
        TargetGroup::Link if is_entry_side => FaultTarget::CallerLink(entry),
        TargetGroup::Link => FaultTarget::UpstreamLink(random.random_range(0..scope.upstreams)),
        TargetGroup::Upstream => FaultTarget::Upstream(random.random_range(0..scope.upstreams)),
        TargetGroup::List => FaultTarget::List,
        TargetGroup::Operators => FaultTarget::Operators,
    };
    Some(PlannedFault { at, lasts, kind, name, target })
}

/// Whether a fault may act beside those that were drawn before it.
fn may_join(faults: &[PlannedFault], fault: &PlannedFault) -> bool {
    let is_apart = |other: &PlannedFault| {
        let both_disturb = disturbs_control(other) && disturbs_control(fault);
        let has_loss = other.kind == FaultKind::Wipe || fault.kind == FaultKind::Wipe;
        !(both_disturb && has_loss && latest_end(other) + CATCH_UP > fault.at)
    };
    let acting = faults.iter().filter(|other| latest_end(other) > fault.at);
    let acting: Vec<&PlannedFault> = acting.collect();
    acting.len() < MOST_AT_ONCE
        && faults.iter().all(is_apart)
        && !acting.iter().any(|other| meet(other.target, fault.target))
        // An exchange of addresses takes any other upstream too.
        && !(fault.kind == FaultKind::AddressReused && acting.iter().any(|other| on_upstream(other)))
        && !(on_upstream(fault) && acting.iter().any(|other| other.kind == FaultKind::AddressReused))
}

/// When a fault has ended, at the latest.
fn latest_end(fault: &PlannedFault) -> Duration {
    let more = match fault.kind {
        FaultKind::UpstreamReplaced => LEAVE_TIME + REUSE_TIME,
        FaultKind::AddressReused => REUSE_TIME,
        FaultKind::TerminateSeries => GRACE * 2,
        FaultKind::Terminate
        | FaultKind::TerminatePair
        | FaultKind::SecondSignal
        | FaultKind::ReloadWhileDraining
        | FaultKind::RestartAtOnce => GRACE,
        _ => Duration::ZERO,
    };
    fault.at + fault.lasts + more
}

/// Whether two targets have something in common.
fn meet(one: FaultTarget, other: FaultTarget) -> bool {
    match (one, other) {
        (FaultTarget::Entries, FaultTarget::Process(place))
        | (FaultTarget::Process(place), FaultTarget::Entries) => place >= CONTROL_COUNT,
        (FaultTarget::Control, FaultTarget::Process(place))
        | (FaultTarget::Process(place), FaultTarget::Control) => place < CONTROL_COUNT,
        _ => one == other,
    }
}

fn disturbs_control(fault: &PlannedFault) -> bool {
    match fault.target {
        FaultTarget::Control => true,
        FaultTarget::Process(place) => place < CONTROL_COUNT && fault.kind != FaultKind::Reload,
        _ => false,
    }
}

fn on_upstream(fault: &PlannedFault) -> bool {
    matches!(fault.target, FaultTarget::Upstream(_))
}
