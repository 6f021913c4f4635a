//! Log lines and metrics on how a control instance stands in its group.

use std::time::{Duration, Instant};

use metrics::gauge;
use spdlog::{info, warn};
use wheel_agreement::{RaftNode, RaftStatus, RoleName};

/// Time between two observations.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// Age of a lack at which it is logged: longer than an election, or the change of a voter, takes.
const LOG_AGE: Duration = Duration::from_secs(3);
/// Time between two log lines on a lack that lasts.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Reports whether a control instance has a leader and, as the leader, whether the group has the
/// voters that it wants.
#[derive(Debug, Default)]
pub(crate) struct GroupMonitor {
    observed: Option<Instant>,
    leader: LackTimer,
    voters: LackTimer,
}

impl GroupMonitor {
    /// Observes the state at `now`, unless it was observed just before.
    pub(crate) fn observe(&mut self, now: Instant, node: &RaftNode) {
        if self.observed.is_some_and(|at| now.saturating_duration_since(at) < OBSERVE_INTERVAL) {
            return;
        }
        self.observed = Some(now);
        let status = node.status();
        self.observe_leader(now, &status);
        self.observe_voters(now, &status);
    }

    fn observe_leader(&mut self, now: Instant, status: &RaftStatus) {
        let lack = self.leader.update(now, status.leader.is_none());
        gauge!("wheel_control_leaderless_seconds").set(lack.age().as_secs_f64());
        // The folder alone doesn't tell whether the group still counts this instance.
        let is_voter = status.members.voters.contains(&status.id);
        match (lack, &status.leader) {
            (Lack::Due(age), _) => warn!("leader_missing", kv: {
                for_ms = age.as_millis() as u64, is_voter, term = status.term
            }),
            (Lack::Ended(age), Some(leader)) => info!("leader_found", kv: {
                after_ms = age.as_millis() as u64,
                leader = leader.instance.as_str(),
                term = status.term
            }),
            _ => {}
        }
    }

    fn observe_voters(&mut self, now: Instant, status: &RaftStatus) {
        let leads = status.role == RoleName::Leader;
        let wanted = status.wanted_voters.unwrap_or(status.members.voters.len());
        let [voters, learners] = [status.members.voters.len(), status.members.learners.len()];
        let (live, waiting) = (status.live_voters, status.waiting.len());
        let counts = [
            ("wheel_group_wanted_voters", wanted),
            ("wheel_group_voters", voters),
            ("wheel_group_live_voters", live),
            ("wheel_group_learners", learners),
            ("wheel_group_waiting", waiting),
        ];
        for (name, count) in counts {
            gauge!(name).set(if leads { count as f64 } else { 0.0 });
        }
        match self.voters.update(now, leads && live < wanted) {
            Lack::Due(age) => warn!("voters_missing", kv: {
                for_ms = age.as_millis() as u64, wanted, live, voters, learners, waiting
            }),
            Lack::Ended(age) if leads => info!("voters_complete", kv: {
                after_ms = age.as_millis() as u64, live, learners
            }),
            _ => {}
        }
    }
}

/// Measures how long something is lacking.
#[derive(Debug, Default)]
struct LackTimer {
    since: Option<Instant>,
    logged: Option<Instant>,
}

/// What a [`LackTimer`] found, with the age of the lack.
#[derive(Clone, Copy, Debug)]
enum Lack {
    None,
    Lasts(Duration),
    /// A log line is due.
    Due(Duration),
    /// It ended, and had been logged.
    Ended(Duration),
}

impl Lack {
    fn age(self) -> Duration {
        match self {
            Self::None | Self::Ended(_) => Duration::ZERO,
            Self::Lasts(age) | Self::Due(age) => age,
        }
    }
}

impl LackTimer {
    fn update(&mut self, now: Instant, is_lacking: bool) -> Lack {
        if !is_lacking {
            let since = self.since.take();
            return match (since, self.logged.take()) {
                (Some(since), Some(_)) => Lack::Ended(now.saturating_duration_since(since)),
                _ => Lack::None,
            };
        }
        let since = *self.since.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        let is_due = match self.logged {
            Some(logged) => now.saturating_duration_since(logged) >= LOG_INTERVAL,
            None => age >= LOG_AGE,
        };
        if !is_due {
            return Lack::Lasts(age);
        }
        self.logged = Some(now);
        Lack::Due(age)
    }
}
