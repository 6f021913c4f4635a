//! A candidate for the lease, or its holder.

use std::collections::BTreeSet;
use std::time::Duration;

use wheel_types::{FencingNumber, InstanceName, MonotonicTime};

use crate::{
    ClaimRound, GrantorSet, HeldLease, HolderId, HolderInput, HolderOutput, HolderPhase,
    LeaseAuthority, LeaseDecision, LeaseReply, LeaseRequest, LeaseSettings, RequestKind,
};

/// Claims the lease whenever it is free, renews it at a third of its term, and tracks when its own
/// authority ends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    id: HolderId,
    grantors: GrantorSet,
    seed: u64,
    highest_seen: FencingNumber,
    round: u64,
    phase: HolderPhase,
    last_step: MonotonicTime,
    known_holder: Option<HolderId>,
}

impl LeaseHolder {
    /// Starts a candidate that claims after a random part of the retry spread. `seed` must differ
    /// between the candidates of a data centre.
    pub fn open(
        settings: LeaseSettings,
        id: HolderId,
        grantors: GrantorSet,
        now: MonotonicTime,
        seed: u64,
    ) -> Self {
        let mut holder = Self {
            settings,
            id,
            grantors,
            seed,
            highest_seen: FencingNumber::default(),
            round: 0,
            phase: HolderPhase::Waiting { until: now },
            last_step: now,
            known_holder: None,
        };
        holder.wait_from(now);
        holder
    }

    /// Advances the holder; the outputs must be executed in sequence.
    pub fn step(&mut self, now: MonotonicTime, input: HolderInput) -> Vec<HolderOutput> {
        let mut outputs = Vec::new();
        self.check_gap(now);
        self.check_end(now, &mut outputs);
        self.last_step = now;
        match input {
            HolderInput::Tick => {}
            HolderInput::Reply { from, reply } => self.count_reply(now, from, &reply, &mut outputs),
            HolderInput::Learned(number) => self.learn(now, number),
            HolderInput::SetChanged(set) => self.adopt_set(now, set),
            HolderInput::Release => self.release(&mut outputs),
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// The order authority at `now`; `None` without a lease, after its end, and after a gap between
    /// the holder's own steps until a renewal has confirmed the lease.
    pub fn authority(&self, now: MonotonicTime) -> Option<LeaseAuthority> {
        let HolderPhase::Holding(lease) = &self.phase else { return None };
        let authority = LeaseAuthority {
            number: lease.number,
            began: lease.began,
            ends: lease.ends,
            epoch: lease.epoch,
        };
        let stepped = now.since(self.last_step) <= self.settings.gap_limit;
        let confirmed = lease.confirmed >= lease.checked_from;
        (stepped && confirmed && authority.is_valid(now)).then_some(authority)
    }

    /// The current phase.
    pub fn phase(&self) -> &HolderPhase {
        &self.phase
    }

    /// The last known holder of the lease, which may be this instance.
    pub fn known_holder(&self) -> Option<&HolderId> {
        self.known_holder.as_ref()
    }

    /// When [`LeaseHolder::step`] must be called with a [`HolderInput::Tick`] at the latest.
    pub fn next_tick(&self) -> MonotonicTime {
        match &self.phase {
            HolderPhase::Waiting { until } => *until,
            HolderPhase::Claiming(round) => round.sent + self.settings.renew_interval(),
            HolderPhase::Holding(lease) => lease.renew_at.min(lease.ends),
            HolderPhase::Released => self.last_step + self.settings.term,
        }
    }

    fn check_gap(&mut self, now: MonotonicTime) {
        let stepped = now.since(self.last_step) <= self.settings.gap_limit;
        match &mut self.phase {
            HolderPhase::Holding(lease) if !stepped => {
                lease.checked_from = now;
                lease.renewal = None;
                lease.renew_at = now;
            }
            _ => {}
        }
    }

    fn check_end(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        match &self.phase {
            HolderPhase::Holding(lease) if now >= lease.ends => {
                outputs.push(HolderOutput::Lost(lease.number));
                self.known_holder = None;
                self.wait_from(now);
            }
            _ => {}
        }
    }

    fn count_reply(
        &mut self,
        now: MonotonicTime,
        from: InstanceName,
        reply: &LeaseReply,
        outputs: &mut Vec<HolderOutput>,
    ) {
        self.highest_seen = self.highest_seen.max(reply.highest);
        self.known_holder = reply.holder.clone().or(self.known_holder.take());
        let round = match &mut self.phase {
            HolderPhase::Claiming(round) => round,
            HolderPhase::Holding(HeldLease { renewal: Some(round), .. }) => round,
            _ => return,
        };
        if reply.round != self.round || !self.grantors.members.contains(&from) {
            return;
        }
        match reply.decision {
            LeaseDecision::Granted => drop(round.granted.insert(from)),
            LeaseDecision::Refused { wait, .. } => {
                round.superseded |= reply.highest >= round.number;
                round.retry_at = round.retry_at.max(now + wait);
                round.refused.insert(from);
            }
        }
        if self.grantors.is_majority(&round.granted) {
            let round = round.clone();
            self.hold(now, &round, outputs);
        }
    }

    /// Starts or extends the holding period after a majority granted `round`.
    fn hold(&mut self, now: MonotonicTime, round: &ClaimRound, outputs: &mut Vec<HolderOutput>) {
        let ends = round.sent + self.settings.term.saturating_sub(self.settings.margin);
        let renew_at = round.sent + self.settings.renew_interval();
        let epoch = self.grantors.epoch;
        let (began, checked_from, previous) = match &self.phase {
            HolderPhase::Holding(lease) => (lease.began, lease.checked_from, Some(lease.number)),
            _ if now >= ends => return,
            _ => (now, round.sent, None),
        };
        self.phase = HolderPhase::Holding(HeldLease {
            number: round.number,
            began,
            ends,
            epoch,
            renewal: None,
            renew_at,
            checked_from,
            confirmed: round.sent,
        });
        self.known_holder = Some(self.id.clone());
        if previous != Some(round.number) {
            let number = round.number;
            outputs.push(HolderOutput::Acquired(LeaseAuthority { number, began, ends, epoch }));
        }
    }

    fn learn(&mut self, now: MonotonicTime, number: FencingNumber) {
        self.highest_seen = self.highest_seen.max(number);
        match &mut self.phase {
            HolderPhase::Holding(lease) if number >= lease.number => {
                // An equal number belonged to another holder too.
                self.highest_seen = self.highest_seen.max(number.next());
                lease.renewal = None;
                lease.renew_at = now;
            }
            _ => {}
        }
    }

    fn adopt_set(&mut self, now: MonotonicTime, set: GrantorSet) {
        if set.epoch <= self.grantors.epoch {
            return;
        }
        self.grantors = set;
        match &mut self.phase {
            HolderPhase::Claiming(_) => self.wait_from(now),
            HolderPhase::Holding(lease) => {
                lease.renewal = None;
                lease.renew_at = now;
            }
            HolderPhase::Waiting { .. } | HolderPhase::Released => {}
        }
    }

    fn release(&mut self, outputs: &mut Vec<HolderOutput>) {
        match &self.phase {
            HolderPhase::Claiming(round) => {
                let number = round.number;
                self.send_all(number, RequestKind::Release, outputs);
            }
            HolderPhase::Holding(lease) => {
                let number = lease.number;
                outputs.push(HolderOutput::Lost(number));
                self.send_all(number, RequestKind::Release, outputs);
            }
            HolderPhase::Waiting { .. } | HolderPhase::Released => {}
        }
        self.phase = HolderPhase::Released;
    }

    /// Claims, renews or gives up a claim when it is time.
    fn advance(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        match &self.phase {
            HolderPhase::Waiting { until } if now >= *until => self.claim(now, outputs),
            HolderPhase::Claiming(round) if self.has_failed(now, round) => {
                let (number, retry_at, superseded) =
                    (round.number, round.retry_at, round.superseded);
                let is_partly_granted = !round.granted.is_empty();
                if is_partly_granted {
                    self.send_all(number, RequestKind::Release, outputs);
                }
                let pause = self.settings.renew_interval() / 4;
                self.wait_from(retry_at.max(if superseded { now } else { now + pause }));
            }
            HolderPhase::Holding(lease) if now >= lease.renew_at => self.renew(now, outputs),
            _ => {}
        }
    }

    /// True if a claim can't get a majority any more or has timed out.
    fn has_failed(&self, now: MonotonicTime, round: &ClaimRound) -> bool {
        let open: BTreeSet<_> = self.grantors.members.difference(&round.refused).cloned().collect();
        let timed_out = now >= round.sent + self.settings.renew_interval();
        timed_out || !self.grantors.is_majority(&open)
    }

    fn claim(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        let number = self.highest_seen.next();
        self.send_all(number, RequestKind::Claim, outputs);
        self.phase = HolderPhase::Claiming(new_round(number, now));
    }

    /// Renews under the same number, or claims a higher one if a higher one was seen.
    fn renew(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        let HolderPhase::Holding(lease) = &self.phase else { return };
        let (number, kind) = match self.highest_seen > lease.number {
            true => (self.highest_seen.next(), RequestKind::Claim),
            false => (lease.number, RequestKind::Renew),
        };
        self.send_all(number, kind, outputs);
        let interval = self.settings.renew_interval();
        let HolderPhase::Holding(lease) = &mut self.phase else { return };
        lease.renewal = Some(new_round(number, now));
        lease.renew_at = now + interval;
    }

    fn send_all(
        &mut self,
        number: FencingNumber,
        kind: RequestKind,
        outputs: &mut Vec<HolderOutput>,
    ) {
        self.round += 1;
        let request = LeaseRequest {
            holder: self.id.clone(),
            epoch: self.grantors.epoch,
            round: self.round,
            number,
            term: self.settings.term,
            kind,
        };
        for member in &self.grantors.members {
            outputs.push(HolderOutput::Send { to: member.clone(), request: request.clone() });
        }
    }

    fn wait_from(&mut self, start: MonotonicTime) {
        let until = start + self.jitter();
        self.phase = HolderPhase::Waiting { until };
    }

    /// A pseudo-random part of the retry spread that differs between candidates and rounds.
    fn jitter(&self) -> Duration {
        let spread = self.settings.retry_spread.as_micros() as u64;
        let mixed = split_mix(self.seed ^ split_mix(self.round));
        Duration::from_micros(mixed.checked_rem(spread).unwrap_or(0))
    }
}

fn new_round(number: FencingNumber, now: MonotonicTime) -> ClaimRound {
    ClaimRound {
        number,
        sent: now,
        granted: BTreeSet::new(),
        refused: BTreeSet::new(),
        superseded: false,
        retry_at: now,
    }
}

/// Hashes a number (one step of SplitMix64).
fn split_mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
