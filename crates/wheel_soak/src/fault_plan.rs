//! The faults of a run, drawn from its seed.

use std::fmt;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::fault_driver::{
    CATCH_UP, HOLDER_LIMIT, LEAVE_TIME, REPLACE_LIMIT, REUSE_TIME, seam_file,
};
use crate::fault_table::{ANSWERS, DISORDERS, DOWNTIME_MS, KINDS, KindRow, TargetGroup};
use crate::soak_system::{CONTROL_COUNT, GRACE};
use crate::{FaultKind, FaultTarget, PlannedFault};

/// Maximum number of concurrent faults.
const MAX_CONCURRENT: usize = 3;
/// Time between the beginnings of two faults, in milliseconds.
const GAP_MS: Range<u64> = 200..1_800;
/// Time between the beginnings of two faults of [`DISORDERS`] or [`ANSWERS`], and from one to its
/// companion.
const DISORDER_GAP_MS: Range<u64> = 1_000..4_000;
const COMPANION_MS: Range<u64> = 300..1_500;
/// Faults of [`DISORDERS`] and [`ANSWERS`] may come on top of as many others as [`MAX_CONCURRENT`].
const MAX_WITH_DISORDER: usize = MAX_CONCURRENT + 2;
/// Separates the draw of [`DISORDERS`] from that of the other kinds, whose plans stay the same.
const DISORDER_SEED: u64 = 0x5eed_d150_4de4;
/// The same for [`ANSWERS`].
const ANSWER_SEED: u64 = 0x5eed_a425_3e45;
/// The same for [`FaultKind::HolderStop`], its downtimes, the time of the first and from one to the next.
const HOLDER_SEED: u64 = 0x5eed_401d_e451;
const HOLDER_DOWN_MS: Range<u64> = 200..1_000;
const HOLDER_AT_MS: Range<u64> = 1_000..8_000;
const HOLDER_GAP_MS: Range<u64> = 20_000..40_000;
/// The same for [`FaultKind::VoterReplaced`].
const REPLACED_SEED: u64 = 0x5eed_5ba2_e000;
const REPLACED_DOWN_MS: Range<u64> = 5_500..8_000;
const REPLACED_AT_MS: Range<u64> = 2_000..4_000;
const REPLACED_GAP_MS: Range<u64> = 30_000..45_000;
/// In the plans of one in this many seeds, [`ANSWERS`] are drawn before all others, and so find room
/// for long faults of all upstreams.
const ANSWERS_FIRST_SHARE: u64 = 5;
/// Share of the runs in which a control instance is lost during the first start, and the time of the
/// loss in milliseconds.
const START_LOSS_SHARE: f64 = 0.25;
const START_LOSS_MS: Range<u64> = 0..1_000;
/// Share of the faults of all upstreams during which an ingress instance gets SIGTERM.
const SIGNAL_SHARE: f64 = 0.6;

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
    /// Whether there is a spare control instance.
    pub has_spare: bool,
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
        let are_answers_first = scope.seed.is_multiple_of(ANSWERS_FIRST_SHARE);
        let mut faults = Vec::new();
        if are_answers_first {
            add_answers(&mut faults, scope);
        }
        if are_disorders_first {
            add_disorders(&mut faults, &mut random, scope);
        }
        add_faults(&mut faults, scope);
        if !are_disorders_first {
            add_disorders(&mut faults, &mut random, scope);
        }
        if !are_answers_first {
            add_answers(&mut faults, scope);
        }
        add_holder_stops(&mut faults, scope, start_loss.is_some());
        if scope.has_spare {
            add_replacements(&mut faults, scope, start_loss.is_some());
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

/// Adds faults of [`ANSWERS`], most of them with a planned stop or a change of the configuration.
fn add_answers(faults: &mut Vec<PlannedFault>, scope: &PlanScope) {
    let mut random = StdRng::seed_from_u64(scope.seed ^ ANSWER_SEED);
    let mut at = Duration::from_millis(random.random_range(DISORDER_GAP_MS));
    while at < scope.length {
        let fault = draw_fault(&mut random, scope, at, &ANSWERS);
        let entry = FaultTarget::Process(random.random_range(CONTROL_COUNT..scope.processes));
        let (kind, name, target) = match random.random_range(0..3) {
            0 => (FaultKind::TerminateSeries, "terminate", FaultTarget::Entries),
            1 => (FaultKind::Terminate, "terminate", entry),
            _ => (FaultKind::ChangeStorm, "configuration", FaultTarget::Operators),
        };
        let companion = PlannedFault {
            at: at + Duration::from_millis(random.random_range(COMPANION_MS)),
            duration: Duration::from_millis(random.random_range(DOWNTIME_MS)),
            kind,
            name,
            target,
        };
        let is_joined = random.random_bool(SIGNAL_SHARE) && companion.at < scope.length;
        for fault in fault.into_iter().chain(is_joined.then_some(companion)) {
            if may_overlap(faults, &fault, MAX_WITH_DISORDER) {
                faults.push(fault);
            }
        }
        at += Duration::from_millis(random.random_range(DISORDER_GAP_MS));
    }
}

/// Adds faults of [`FaultKind::HolderStop`] in place of other faults of control instances, since few
/// plans would have room for them.
fn add_holder_stops(faults: &mut Vec<PlannedFault>, scope: &PlanScope, has_start_loss: bool) {
    let mut random = StdRng::seed_from_u64(scope.seed ^ HOLDER_SEED);
    let mut at = Duration::from_millis(random.random_range(HOLDER_AT_MS));
    at = if has_start_loss { at.max(CATCH_UP) } else { at };
    while at < scope.length {
        let (kind, name) = (FaultKind::HolderStop, "holder_stop");
        let duration = Duration::from_millis(random.random_range(HOLDER_DOWN_MS));
        let fault = PlannedFault { at, duration, kind, name, target: FaultTarget::Control };
        faults.retain(|other| may_overlap(std::slice::from_ref(other), &fault, usize::MAX));
        faults.push(fault);
        at += Duration::from_millis(random.random_range(HOLDER_GAP_MS));
    }
}

/// Adds faults of [`FaultKind::VoterReplaced`] in place of other faults of control instances.
fn add_replacements(faults: &mut Vec<PlannedFault>, scope: &PlanScope, has_start_loss: bool) {
    let mut random = StdRng::seed_from_u64(scope.seed ^ REPLACED_SEED);
    let mut at = Duration::from_millis(random.random_range(REPLACED_AT_MS));
    at = if has_start_loss { at.max(CATCH_UP) } else { at };
    while at < scope.length {
        let kind = FaultKind::VoterReplaced { away: random.random_range(0..CONTROL_COUNT) };
        let duration = Duration::from_millis(random.random_range(REPLACED_DOWN_MS));
        let (name, target) = ("voter_replaced", FaultTarget::Control);
        let fault = PlannedFault { at, duration, kind, name, target };
        let begins_apart = |other: &PlannedFault| {
            !disturbs_control(other)
                || latest_end(other) + CATCH_UP <= fault.at
                || other.at >= latest_end(&fault)
        };
        faults.retain(begins_apart);
        faults.push(fault);
        at += Duration::from_millis(random.random_range(REPLACED_GAP_MS));
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
        FaultKind::HolderStop => fault.duration + HOLDER_LIMIT,
        FaultKind::VoterReplaced { .. } => REPLACE_LIMIT,
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
