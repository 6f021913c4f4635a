//! The faults of a run, drawn from its seed.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fault_driver::{LEAVE_TIME, REUSE_TIME, seam_file};
use crate::soak_system::{CONTROL_COUNT, GRACE};
use crate::{
    AnswerPhase, FaultKind, FaultTarget, ListFault, OddEntry, PlannedFault, UpstreamFault,
};

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
/// Durations of faults that an announced stop or a signal falls into.
const WIDE_MS: Range<u64> = 4_000..9_000;
/// Time between the beginnings of two faults of [`DISORDERS`], and from one to its companion.
const DISORDER_GAP_MS: Range<u64> = 1_000..4_000;
const COMPANION_MS: Range<u64> = 300..1_500;
/// Faults of [`DISORDERS`] may come on top of as many others as [`MAX_CONCURRENT`].
const MAX_WITH_DISORDER: usize = MAX_CONCURRENT + 2;
/// Separates the draw of [`DISORDERS`] from that of the other kinds, whose plans stay the same.
const DISORDER_SEED: u64 = 0x5eed_d150_4de4;
/// Share of the runs in which a control instance is lost during the first start, and the time of the
/// loss in milliseconds.
const START_LOSS_SHARE: f64 = 0.25;
const START_LOSS_MS: Range<u64> = 0..1_000;
/// Share of the faults of all upstreams during which an ingress instance gets SIGTERM.
const SIGNAL_SHARE: f64 = 0.6;

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
    AllUpstreams,
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

/// Faults of upstreams and of the list that leave the process, its connections and its links alone.
const DISORDERS: [KindRow; 19] = {
    use AnswerPhase::*;
    use FaultKind::*;
    use OddEntry::*;
    use TargetGroup as On;
    use UpstreamFault::*;
    const ODD: &str = "list_odd";
    [
        (Upstream(Silent(Head)), "upstream_silent", 3, On::AllUpstreams, WIDE_MS),
        (Upstream(Silent(FirstEvent)), "upstream_silent", 3, On::AllUpstreams, WIDE_MS),
        (Upstream(Silent(Middle)), "upstream_silent", 3, On::AllUpstreams, WIDE_MS),
        (Upstream(HeadOnly), "upstream_head_only", 3, On::Upstream, DEFAULT_MS),
        (Upstream(Endless(Head)), "upstream_endless", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Endless(FirstEvent)), "upstream_endless", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Endless(Middle)), "upstream_endless", 2, On::Upstream, DEFAULT_MS),
        (Upstream(Crossed), "upstream_crossed", 2, On::AllUpstreams, DEFAULT_MS),
        (Upstream(Breaks), "upstream_breaks", 4, On::AllUpstreams, WIDE_MS),
        (UpstreamCrash, "upstream_crash", 2, On::AllUpstreams, BRIEF_MS),
        (List(ListFault::Odd(Nested)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(HugeNumber)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Surrogate)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Bytes)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Port)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Slots)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Nameless)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(Twin)), ODD, 1, On::List, WIDE_MS),
        (List(ListFault::Odd(SameAddress)), ODD, 1, On::List, WIDE_MS),
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
    /// The loss of a control instance during the first start, if any.
    pub start_loss: Option<PlannedFault>,
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws a plan.
    pub fn draw(scope: &PlanScope) -> Self {
        let mut random = StdRng::seed_from_u64(scope.seed ^ DISORDER_SEED);
        let start_loss = random.random_bool(START_LOSS_SHARE).then(|| draw_start_loss(&mut random));
        // Long faults of all upstreams fit into few plans that are drawn without regard to them.
        let are_disorders_first = random.random_bool(0.5);
        let mut faults = Vec::new();
        if are_disorders_first {
            add_disorders(&mut faults, &mut random, scope);
        }
        add_faults(&mut faults, scope);
        if !are_disorders_first {
            add_disorders(&mut faults, &mut random, scope);
        }
        // A control instance that lost its data at the start may still be catching up.
        let is_early = |fault: &PlannedFault| disturbs_control(fault) && fault.at < CATCH_UP;
        faults.retain(|fault| start_loss.is_none() || !is_early(fault));
        faults.sort_by_key(|fault| fault.at);
        Self { start_loss, faults }
    }
}

/// Adds faults of [`KINDS`].
fn add_faults(faults: &mut Vec<PlannedFault>, scope: &PlanScope) {
    let mut random = StdRng::seed_from_u64(scope.seed);
    let mut at = Duration::from_millis(random.random_range(GAP_MS));
    while at < scope.length {
        let fault = draw_fault(&mut random, scope, at, &KINDS);
        faults.extend(fault.filter(|fault| may_overlap(faults, fault, MAX_CONCURRENT)));
        at += Duration::from_millis(random.random_range(GAP_MS));
    }
}

/// Adds faults of [`DISORDERS`], some of them with another fault that they must not make worse.
fn add_disorders(faults: &mut Vec<PlannedFault>, random: &mut StdRng, scope: &PlanScope) {
    let mut at = Duration::from_millis(random.random_range(DISORDER_GAP_MS));
    while at < scope.length {
        let fault = draw_fault(random, scope, at, &DISORDERS);
        let companion_at = at + Duration::from_millis(random.random_range(COMPANION_MS));
        let duration = Duration::from_millis(random.random_range(DOWNTIME_MS));
        let upstream = FaultTarget::Upstream(random.random_range(0..scope.upstreams));
        let entry = FaultTarget::Process(random.random_range(CONTROL_COUNT..scope.processes));
        let control = FaultTarget::Process(random.random_range(0..CONTROL_COUNT));
        let is_signalled = random.random_bool(SIGNAL_SHARE);
        let companion = fault.and_then(|fault| match fault.target {
            FaultTarget::List => Some((FaultKind::UpstreamReplaced, "upstream_replaced", upstream)),
            // The loads that follow fall into a change of the order authority's holder.
            FaultTarget::AllUpstreams if fault.kind == FaultKind::UpstreamCrash => {
                Some((FaultKind::Terminate, "terminate", control))
            }
            FaultTarget::AllUpstreams if is_signalled => {
                Some((FaultKind::Terminate, "terminate", entry))
            }
            _ => None,
        });
        let companion = companion.map(|(kind, name, target)| PlannedFault {
            at: companion_at,
            duration,
            kind,
            name,
            target,
        });
        for fault in fault.into_iter().chain(companion.filter(|fault| fault.at < scope.length)) {
            if may_overlap(faults, &fault, MAX_WITH_DISORDER) {
                faults.push(fault);
            }
        }
        at += Duration::from_millis(random.random_range(DISORDER_GAP_MS));
    }
}

fn draw_start_loss(random: &mut StdRng) -> PlannedFault {
    PlannedFault {
        at: Duration::from_millis(random.random_range(START_LOSS_MS)),
        duration: Duration::from_millis(random.random_range(DOWNTIME_MS)),
        kind: FaultKind::WipeAtStart,
        name: "wipe",
        target: FaultTarget::Process(random.random_range(0..CONTROL_COUNT)),
    }
}

impl fmt::Display for FaultPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut faults = self.start_loss.iter().chain(&self.faults);
        faults.try_for_each(|fault| writeln!(formatter, "{fault}"))
    }
}

fn draw_fault(
    random: &mut StdRng,
    scope: &PlanScope,
    at: Duration,
    rows: &[KindRow],
) -> Option<PlannedFault> {
    let is_possible = |kind: FaultKind| scope.has_seams || seam_file(kind).is_none();
    let weight = |(kind, _, weight, ..): &KindRow| if is_possible(*kind) { *weight } else { 0 };
    let row = rows.choose_weighted(random, weight);
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
        TargetGroup::AllUpstreams => FaultTarget::AllUpstreams,
        TargetGroup::List => FaultTarget::List,
        TargetGroup::Operators => FaultTarget::Operators,
    };
    Some(PlannedFault { at, duration, kind, name, target })
}

/// Whether a fault may overlap with those that were drawn before it, if at most `limit` may act at once.
fn may_overlap(faults: &[PlannedFault], fault: &PlannedFault, limit: usize) -> bool {
    let is_separate = |other: &PlannedFault| {
        let both_disturb = disturbs_control(other) && disturbs_control(fault);
        let has_loss = other.kind == FaultKind::Wipe || fault.kind == FaultKind::Wipe;
        let is_close =
            latest_end(other) + CATCH_UP > fault.at && latest_end(fault) + CATCH_UP > other.at;
        !(both_disturb && has_loss && is_close)
    };
    let is_active =
        |other: &&PlannedFault| latest_end(other) > fault.at && latest_end(fault) > other.at;
    let active = faults.iter().filter(is_active);
    let active: Vec<&PlannedFault> = active.collect();
    active.len() < limit
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
        (FaultTarget::AllUpstreams, FaultTarget::Upstream(_))
        | (FaultTarget::Upstream(_), FaultTarget::AllUpstreams) => true,
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
    matches!(fault.target, FaultTarget::Upstream(_) | FaultTarget::AllUpstreams)
}
