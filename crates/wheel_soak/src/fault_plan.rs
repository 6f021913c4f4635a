//! The faults of a run, drawn from its seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::soak_system::CONTROL_COUNT;
use crate::{FaultKind, FaultTarget, ListFault, PlannedFault, UpstreamFault};

/// Faults that act at once, at most.
const MOST_AT_ONCE: usize = 3;
/// Milliseconds between the beginnings of two faults.
const GAP_MS: std::ops::Range<u64> = 200..1_800;
/// Milliseconds that most faults last.
const USUAL_MS: std::ops::Range<u64> = 500..4_000;
/// Milliseconds of a freeze: past the lease and past a confirmation of the right to order.
const FREEZE_MS: std::ops::Range<u64> = 1_800..4_500;
/// Milliseconds until a killed process is back.
const DOWN_MS: std::ops::Range<u64> = 200..3_000;
/// Time around the loss of a disk in which no other control instance is disturbed: what it lost is
/// copied anew in this time.
const CATCH_UP: Duration = Duration::from_secs(6);

/// Which kinds are drawn, and how often.
const WEIGHTS: [(FaultKind, u32); 32] = [
    (FaultKind::Terminate, 6),
    (FaultKind::TerminateSeries, 2),
    (FaultKind::TerminatePair, 2),
    (FaultKind::SecondSignal, 2),
    (FaultKind::ReloadWhileDraining, 2),
    (FaultKind::Reload, 1),
    (FaultKind::Kill, 4),
    (FaultKind::RestartAtOnce, 3),
    (FaultKind::KillControl, 1),
    (FaultKind::Freeze, 4),
    (FaultKind::Wipe, 2),
    (FaultKind::LinkDelay, 2),
    (FaultKind::LinkReset, 3),
    (FaultKind::LinkOneWay, 2),
    (FaultKind::LinkSilence, 2),
    (FaultKind::LinkTrickle, 2),
    (FaultKind::Upstream(UpstreamFault::Hang), 2),
    (FaultKind::Upstream(UpstreamFault::Late), 2),
    (FaultKind::Upstream(UpstreamFault::Fail), 1),
    (FaultKind::Upstream(UpstreamFault::Crossed), 2),
    (FaultKind::Upstream(UpstreamFault::Doubled), 2),
    (FaultKind::Upstream(UpstreamFault::Unframed), 2),
    (FaultKind::Upstream(UpstreamFault::Cut), 2),
    (FaultKind::UpstreamCrash, 3),
    (FaultKind::UpstreamReplaced, 3),
    (FaultKind::AddressReused, 1),
    (FaultKind::List(ListFault::Lags), 1),
    (FaultKind::List(ListFault::Fails), 1),
    (FaultKind::List(ListFault::Unreadable), 1),
    (FaultKind::ChangeStorm, 3),
    (FaultKind::ChangeRace, 3),
    (FaultKind::InvalidChange, 2),
];

/// What a plan is drawn for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanScope {
    /// Chooses everything.
    pub seed: u64,
    /// Processes, the control instances first.
    pub processes: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// The time in which faults act.
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
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(random.random_range(GAP_MS));
            let fault = draw_fault(&mut random, scope, at);
            match fault {
                _ if at >= scope.length => return Self { faults },
                Some(fault) if may_join(&faults, &fault, scope.length) => faults.push(fault),
                _ => {}
            }
        }
    }
}

impl fmt::Display for FaultPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults.iter().try_for_each(|fault| writeln!(formatter, "{fault}"))
    }
}

fn draw_fault(random: &mut StdRng, scope: &PlanScope, at: Duration) -> Option<PlannedFault> {
    let (kind, _) = *WEIGHTS.choose_weighted(random, |(_, weight)| *weight).ok()?;
    let lasts = match kind {
        FaultKind::Freeze => random.random_range(FREEZE_MS),
        FaultKind::RestartAtOnce | FaultKind::Reload | FaultKind::LinkReset => 100,
        FaultKind::Kill | FaultKind::KillControl | FaultKind::Wipe => random.random_range(DOWN_MS),
        _ => random.random_range(USUAL_MS),
    };
    let any_process = random.random_range(0..scope.processes);
    let entry = random.random_range(CONTROL_COUNT..scope.processes);
    let upstream = random.random_range(0..scope.upstreams);
    let is_caller_side = random.random_bool(0.5);
    let target = match kind {
        FaultKind::TerminateSeries | FaultKind::TerminatePair => FaultTarget::Entries,
        FaultKind::KillControl => FaultTarget::Control,
        FaultKind::Wipe => FaultTarget::Process(any_process % CONTROL_COUNT),
        // Most who are stopped serve callers.
        FaultKind::Terminate | FaultKind::SecondSignal | FaultKind::ReloadWhileDraining
            if is_caller_side =>
        {
            FaultTarget::Process(entry)
        }
        FaultKind::Terminate
        | FaultKind::SecondSignal
        | FaultKind::ReloadWhileDraining
        | FaultKind::Reload
        | FaultKind::Kill
        | FaultKind::RestartAtOnce
        | FaultKind::Freeze => FaultTarget::Process(any_process),
        FaultKind::LinkDelay
        | FaultKind::LinkReset
        | FaultKind::LinkOneWay
        | FaultKind::LinkSilence
        | FaultKind::LinkTrickle => match is_caller_side {
            true => FaultTarget::CallerLink(entry),
            false => FaultTarget::UpstreamLink(upstream),
        },
        FaultKind::Upstream(_)
        | FaultKind::UpstreamCrash
        | FaultKind::UpstreamReplaced
        | FaultKind::AddressReused => FaultTarget::Upstream(upstream),
        FaultKind::List(_) => FaultTarget::List,
        FaultKind::ChangeStorm | FaultKind::ChangeRace | FaultKind::InvalidChange => {
            FaultTarget::Operators
        }
    };
    Some(PlannedFault { at, lasts: Duration::from_millis(lasts), kind, target })
}

fn end(fault: &PlannedFault) -> Duration {
    fault.at + fault.lasts
}

fn disturbs_control(fault: &PlannedFault) -> bool {
    match fault.target {
        FaultTarget::Control => true,
        FaultTarget::Process(place) => place < CONTROL_COUNT && fault.kind != FaultKind::Reload,
        _ => false,
    }
}

/// Whether a fault may act beside those that were drawn before it.
fn may_join(faults: &[PlannedFault], fault: &PlannedFault, length: Duration) -> bool {
    let overlapping: Vec<&PlannedFault> =
        faults.iter().filter(|other| end(other) > fault.at).collect();
    let is_alone = |other: &PlannedFault| {
        let is_near = end(other) + CATCH_UP > fault.at;
        let has_loss = other.kind == FaultKind::Wipe || fault.kind == FaultKind::Wipe;
        !(is_near && has_loss && disturbs_control(other) && disturbs_control(fault))
    };
    let swaps = |fault: &PlannedFault| {
        matches!(fault.kind, FaultKind::AddressReused)
            || matches!(fault.kind, FaultKind::UpstreamCrash | FaultKind::UpstreamReplaced)
    };
    overlapping.len() < MOST_AT_ONCE
        && end(fault) <= length
        && overlapping.iter().all(|other| !other.target.overlaps(fault.target, CONTROL_COUNT))
        && faults.iter().all(is_alone)
        // Those that swap services look for a second upstream when they begin.
        && !(swaps(fault) && overlapping.iter().any(|other| swaps(other)))
}
