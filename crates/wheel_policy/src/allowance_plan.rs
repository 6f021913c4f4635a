//! How a team's allowance is divided.

use std::time::Duration;

use wheel_route::TeamAllowance;

use crate::GrantPlan;

/// How long units may be used after the leader granted them: two syncs. A longer life would take more
/// of the bound.
const LIFE: Duration = Duration::from_millis(600);
/// Time from the use of units until the request has arrived at its upstream: the age up to which a
/// charge may be used for a send, and a connection to another data centre.
pub(crate) const SEND_TIME: Duration = Duration::from_millis(300);
/// Age of the proof of its leadership up to which a leader gives out units. A new leader waits that
/// long, since the previous one may still do so.
pub const LEADER_PROOF_AGE: Duration = Duration::from_secs(1);
/// The share of the bound that is kept for grants where the bound leaves no more. Below that, the rate
/// is lowered instead.
const MIN_BOUND_SHARE: f64 = 0.1;
/// The largest share of the bound that the burst takes for one unit.
const MAX_BURST_SHARE: f64 = 0.9;
/// The time for whose rate units are kept while nobody asks.
const BURST_TIME: Duration = Duration::from_millis(500);
/// The share of a team's allowance that less urgent requests have while more urgent ones wait.
const LOWER_SHARE: f64 = 0.1;
/// The share of the slack that burst and overdraft together cover, so that a request of that size
/// can be granted to a small team.
const LARGE_SHARE: f64 = 0.5;
/// The share of what the bound leaves beside the rate that is for advances. They serve requests at
/// once, and while no leader grants, which takes seconds after the loss of one.
const ADVANCE_SHARE: f64 = 0.6;

/// The bound that the teams' use must keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceBounds {
    /// The window in which use is counted.
    pub window: Duration,
    /// The factor by which use may exceed rate and burst, less 1.
    pub overage: f64,
    /// Units by which use may exceed that.
    pub slack: f64,
}

impl Default for AllowanceBounds {
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 }
    }
}

impl AllowanceBounds {
    /// The most units that a team may use in any window.
    pub fn most(&self, allowance: &TeamAllowance) -> f64 {
        let allowed = allowance.rate * self.window.as_secs_f64() + allowance.burst;
        allowed * (1.0 + self.overage) + self.slack
    }

    /// Time after the start of a process before which it has no advance, since an earlier process
    /// may have used one.
    pub fn advance_pause(&self) -> Duration {
        self.window + SEND_TIME
    }
}

/// How a team's allowance is given out so that its use keeps the bound in every window.
///
/// What is used in a window was granted in it, or at most the life of a grant and the time of a send
/// before it; or it is an advance. Hence the sum of
/// `rate * (window + life + SEND_TIME) + burst + overdraft + advance` never exceeds the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowancePlan {
    /// How the leader grants.
    pub grant: GrantPlan,
    /// Units that all instances together may use beyond their grants.
    pub advance: f64,
}

impl AllowancePlan {
    /// Divides what the bound allows: first the rate, then advances, then a burst that also covers one
    /// large request. What is left raises the rate, so that all that the bound allows can be used.
    pub fn new(allowance: &TeamAllowance, bounds: &AllowanceBounds) -> Self {
        let rate = allowance.rate;
        let most = bounds.most(allowance);
        let span = (bounds.window + SEND_TIME + LIFE).as_secs_f64();
        let room = most - rate * span;
        // A bound below one unit lets nothing through, but the rate must stay above zero.
        let least = (most * MIN_BOUND_SHARE).max(most.min(1.0).min(most * MAX_BURST_SHARE));
        let (rate, burst, advance) = match room {
            room if room >= least => {
                let advance = room * ADVANCE_SHARE;
                let kept = room - advance;
                let wanted = (bounds.slack * LARGE_SHARE).max(rate * BURST_TIME.as_secs_f64());
                let burst = kept.min(wanted.max(most.min(1.0)));
                (rate + (kept - burst) / span, burst, advance)
            }
            _ => ((most - least) / span, least, 0.0),
        };
        let overdraft = (bounds.slack * LARGE_SHARE - burst).clamp(0.0, advance / 2.0);
        let grant = GrantPlan {
            rate,
            burst,
            overdraft,
            life: LIFE,
            start_pause: LEADER_PROOF_AGE,
            lower_share: LOWER_SHARE,
        };
        Self { grant, advance: advance - overdraft }
    }

    /// The most units of one request that can ever be granted.
    pub fn largest(&self) -> u64 {
        (self.grant.burst + self.grant.overdraft) as u64
    }
}
