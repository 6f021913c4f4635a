//! One of the instances that grant the lease.

use std::time::Duration;

use wheel_types::{FencingNumber, MonotonicTime};

use crate::{
    HolderId, LeaseDecision, LeaseObstacle, LeaseReply, LeaseRequest, LeaseSettings, RequestKind,
};

/// Grants the lease to one holder at a time. Everything is kept in memory; after a restart it
/// grants nothing for [`LeaseSettings::restart_wait`].
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseGrantor {
    settings: LeaseSettings,
    ready_at: MonotonicTime,
    epoch: u64,
    highest: FencingNumber,
    grant: Option<LeaseGrant>,
}

/// The last grant; it may have ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct LeaseGrant {
    holder: HolderId,
    number: FencingNumber,
    round: u64,
    ends: MonotonicTime,
}

impl LeaseGrantor {
    /// Starts a grantor without any earlier state.
    pub fn open(settings: LeaseSettings, now: MonotonicTime) -> Self {
        let ready_at = now + settings.restart_wait();
        Self { settings, ready_at, epoch: 0, highest: FencingNumber::default(), grant: None }
    }

    /// Records a number that was seen elsewhere, so that it isn't granted again.
    pub fn learn(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(number);
    }

    /// Records the epoch of the committed grantor set; requests under older sets are refused.
    pub fn adopt(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Answers one request.
    pub fn answer(&mut self, now: MonotonicTime, request: &LeaseRequest) -> LeaseReply {
        let decision = self.evaluate(now, request);
        self.adopt(request.epoch);
        // A renewed number was held; a claimed one may never be.
        if request.kind == RequestKind::Renew {
            self.learn(request.number);
        }
        let current = self.grant.as_ref().filter(|grant| now < grant.ends);
        LeaseReply {
            round: request.round,
            decision,
            highest: self.highest,
            holder: current.map(|grant| grant.holder.clone()),
        }
    }

    fn evaluate(&mut self, now: MonotonicTime, request: &LeaseRequest) -> LeaseDecision {
        let own_grant = self.grant.as_ref().filter(|grant| grant.holder == request.holder);
        let held_by_other =
            self.grant.as_ref().filter(|grant| grant.holder != request.holder && now < grant.ends);
        let last_round = own_grant.map_or(0, |grant| grant.round);
        let same_number = own_grant.is_some_and(|grant| grant.number == request.number);
        let fresh_number = request.number > self.highest;
        match request.kind {
            RequestKind::Release => self.release(now, request),
            _ if request.epoch < self.epoch => refuse(LeaseObstacle::SetChanged, Duration::ZERO),
            _ if request.term > self.settings.longest_term => {
                refuse(LeaseObstacle::TermTooLong, Duration::ZERO)
            }
            _ if now < self.ready_at => refuse(LeaseObstacle::Restarting, self.ready_at - now),
            _ if request.round < last_round => refuse(LeaseObstacle::Stale, Duration::ZERO),
            // A duplicate neither extends the grant nor restores a released one.
            _ if request.round == last_round => self.answer_duplicate(now, request),
            _ => match held_by_other {
                Some(grant) => refuse(LeaseObstacle::Held, grant.ends - now),
                None if fresh_number => self.grant(now, request),
                None if same_number && request.kind == RequestKind::Renew => {
                    self.grant(now, request)
                }
                None => refuse(LeaseObstacle::Stale, Duration::ZERO),
            },
        }
    }

    fn grant(&mut self, now: MonotonicTime, request: &LeaseRequest) -> LeaseDecision {
        debug_assert!(request.number >= self.highest, "numbers never decrease");
        self.highest = request.number;
        self.grant = Some(LeaseGrant {
            holder: request.holder.clone(),
            number: request.number,
            round: request.round,
            ends: now + request.term,
        });
        LeaseDecision::Granted
    }

    fn answer_duplicate(&self, now: MonotonicTime, request: &LeaseRequest) -> LeaseDecision {
        match &self.grant {
            Some(grant) if grant.number == request.number && now < grant.ends => {
                LeaseDecision::Granted
            }
            _ => refuse(LeaseObstacle::Stale, Duration::ZERO),
        }
    }

    fn release(&mut self, now: MonotonicTime, request: &LeaseRequest) -> LeaseDecision {
        match &mut self.grant {
            Some(grant) if grant.holder == request.holder && grant.round < request.round => {
                grant.round = request.round;
                grant.ends = grant.ends.min(now);
                LeaseDecision::Granted
            }
            _ => refuse(LeaseObstacle::Stale, Duration::ZERO),
        }
    }
}

fn refuse(obstacle: LeaseObstacle, wait: Duration) -> LeaseDecision {
    LeaseDecision::Refused { obstacle, wait }
}
