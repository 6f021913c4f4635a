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

/// Maximum number of concurrent faults.
const MAX_CONCURRENT: usize = 3;
/// Time between the beginnings of two faults, in milliseconds.
const GAP_MS: Range<u64> = 200..1_800;
/// Time around the loss of a disk in which no other control instance is disturbed, because the lost
/// data is copied again in this time.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Durations of faults in milliseconds: of most faults; of brief ones; of a freeze, which outlasts the
/// lease and a confirmation of the order authority; and of the downtime of a process.
const DEFAULT_MS: Range<u64> = 500..4_000;
const BRIEF_MS: Range<u64> = 50..200;
const BEYOND_LEASE_MS: Range<u64> = 1_800..4_500;
const DOWNTIME_MS: Range<u64> = 200..3_000;

/// The group that a target is drawn from.
#[derive(Clone, Copy)]
enum TargetGroup {
    /// Any process, with a preference for ingress instances.
    Process,
    Entries,
    /// One control instance.
    Control,
    AllControl,
    /// A link to an ingress instance or to an upstream.
    Link,
    Upstream,
    List,
    Operators,
}

/// A kind, its name, its weight in the draw, its targets and its duration in milliseconds.
type KindRow = (FaultKind, &'static str, u32, TargetGroup, Range<u64>);

const KINDS: [KindRow; 37] = {
    use FaultKind::*;
    use TargetGroup as On;
    use UpstreamFault::*;
    [
        (Terminate, "terminate", 6, On::Process, DOWNTIME_MS),
        (TerminateSeries, "terminate", 2, On::Entries, DOWNTIME_MS),
        (TerminatePair, "terminate", 2, On::Entries, DOWNTIME_MS),
        (SecondSignal, "second_signal", 2, On::Process, DOWNTIME_MS),
        (ReloadWhileDraining, "terminate", 2, On::Process, DOWNTIME_MS),
        (Reload, "reload", 1, On::Process, BRIEF_MS),
        (RestartAtOnce, "restart", 3, On::Process, BRIEF_MS),
        (Kill, "kill", 4, On::Process, DOWNTIME_MS),
        (KillControl, "kill", 1, On::AllControl, DOWNTIME_MS),
        (Freeze, "freeze", 4, On::Process, BEYOND_LEASE_MS),
        (Wipe, "wipe", 2, On::Control, DOWNTIME_MS),
        (DiskSlow, "disk_slow", 2, On::Control, DEFAULT_MS),
        (DiskStalled, "disk_stalled", 2, On::Control, DEFAULT_MS),
        (DiskFull, "disk_full", 2, On::Control, DEFAULT_MS),
        (ClockDay, "clock_day", 2, On::Process, DEFAULT_MS),
        (ClockBoot, "clock_boot", 2, On::Process, DEFAULT_MS),
        (LinkDelay, "link_delay", 2, On::Link, DEFAULT_MS),
        (LinkReset, "link_reset", 3, On::Link, BRIEF_MS),
        (LinkOneWay, "link_one_way", 2, On::Link, DEFAULT_MS),
        (LinkSilence, "link_silence", 2, On::Link, DEFAULT_MS),
        (LinkTrickle, "link_trickle", 2, On::Link, DEFAULT_MS),
        (Upstream(Hang), "upstream_hang", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Late), "upstream_late", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Fail), "upstream_fail", 1, On::Upstream, DEFAULT_MS),
        (Upstream(Crossed), "upstream_crossed", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Doubled), "upstream_doubled", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Unframed), "upstream_unframed", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Cut), "upstream_cut", 2, On::Upstream, DEFAULT_MS),
        (UpstreamCrash, "upstream_crash", 3, On::Upstream, DEFAULT_MS),
        (UpstreamReplaced, "upstream_replaced", 3, On::Upstream, DEFAULT_MS),
        (AddressReused, "address_reused", 1, On::Upstream, BRIEF_MS),
        (List(ListFault::Lags), "list_lags", 1, On::List, DEFAULT_MS),
        (List(ListFault::Fails), "list_fails", 1, On::List, DEFAULT_MS),
        (List(ListFault::Unreadable), "list_unreadable", 1, On::List, DEFAULT_MS),
        (ChangeStorm, "configuration", 3, On::Operators, BRIEF_MS),
        (ChangeRace, "configuration", 3, On::Operators, BRIEF_MS),
        (InvalidChange, "configuration", 2, On::Operators, BRIEF_MS),
    ]
};

/// The parameters of a plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanScope {
    /// The seed of all random choices.
    pub seed: u64,
    /// Number of processes; the first ones are control instances.
    pub processes: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Whether the program has test seams, which inject faults of disks and clocks.
    pub has_seams: bool,
    /// The time span in which faults begin.
    pub length: Duration,
}

/// All faults of a run in the order in which they begin; the same for the same scope.
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
            faults.extend(fault.filter(|fault| may_overlap(&faults, fault)));
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
    let (kind, name, _, group, duration) = row.ok()?.clone();
    let duration = Duration::from_millis(random.random_range(duration));
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
    Some(PlannedFault { at, duration, kind, name, target })
}

/// Whether a fault may overlap with those that were drawn before it.
fn may_overlap(faults: &[PlannedFault], fault: &PlannedFault) -> bool {
    let is_separate = |other: &PlannedFault| {
        let both_disturb = disturbs_control(other) && disturbs_control(fault);
        let has_loss = other.kind == FaultKind::Wipe || fault.kind == FaultKind::Wipe;
        !(both_disturb && has_loss && latest_end(other) + CATCH_UP > fault.at)
    };
    let active = faults.iter().filter(|other| latest_end(other) > fault.at);
    let active: Vec<&PlannedFault> = active.collect();
    active.len() < MAX_CONCURRENT
        && faults.iter().all(is_separate)
        && !active.iter().any(|other| overlap(other.target, fault.target))
        // An exchange of addresses may involve any other upstream too.
        && !(fault.kind == FaultKind::AddressReused && active.iter().any(|other| on_upstream(other)))
        && !(on_upstream(fault) && active.iter().any(|other| other.kind == FaultKind::AddressReused))
}

/// The latest time at which a fault has ended.
fn latest_end(fault: &PlannedFault) -> Duration {
    let extra = match fault.kind {
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
    fault.at + fault.duration + extra
}

/// Whether two targets share a process or are the same.
fn overlap(one: FaultTarget, other: FaultTarget) -> bool {
    match (one, other) {
        (FaultTarget::Entries, FaultTarget::Process(index))
        | (FaultTarget::Process(index), FaultTarget::Entries) => index >= CONTROL_COUNT,
        (FaultTarget::Control, FaultTarget::Process(index))
        | (FaultTarget::Process(index), FaultTarget::Control) => index < CONTROL_COUNT,
        _ => one == other,
    }
}

fn disturbs_control(fault: &PlannedFault) -> bool {
    match fault.target {
        FaultTarget::Control => true,
        FaultTarget::Process(index) => index < CONTROL_COUNT && fault.kind != FaultKind::Reload,
        _ => false,
    }
}

fn on_upstream(fault: &PlannedFault) -> bool {
    matches!(fault.target, FaultTarget::Upstream(_))
}
