//! A candidate for the lease, or its holder.

use std::collections::BTreeSet;
use std::time::Duration;

use wheel_types::{FencingNumber, InstanceName, MonotonicTime};

use crate::{
    ClaimRound, GrantorSet, HolderId, HolderInput, HolderOutput, HolderPhase, LeaseAuthority,
    LeaseReply, LeaseRequest, LeaseSettings, LeaseTenure, LeaseVerdict, RequestKind,
};

/// Claims the lease whenever no one has it, renews it at a third of its term, and knows when its
/// own authority ends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    id: HolderId,
    set: GrantorSet,
    seed: u64,
    floor: FencingNumber,
    round: u64,
    phase: HolderPhase,
    last_step: MonotonicTime,
    known: Option<HolderId>,
}

impl LeaseHolder {
    /// Starts a candidate that claims after a random part of the retry spread. `seed` spreads the
    /// candidates of a data centre.
    pub fn open(
        settings: LeaseSettings,
        id: HolderId,
        set: GrantorSet,
        now: MonotonicTime,
        seed: u64,
    ) -> Self {
        let mut holder = Self {
            settings,
            id,
            set,
            seed,
            floor: FencingNumber::default(),
            round: 0,
            phase: HolderPhase::Waiting { until: now },
            last_step: now,
            known: None,
        };
        holder.wait_from(now);
        holder
    }

    /// Advances the holder; the outputs are carried out in order.
    pub fn step(&mut self, now: MonotonicTime, input: HolderInput) -> Vec<HolderOutput> {
        let mut outputs = Vec::new();
        self.check_gap(now);
        self.check_end(now, &mut outputs);
        self.last_step = now;
        match input {
            HolderInput::Tick => {}
            HolderInput::Reply { from, reply } => self.count(now, from, &reply, &mut outputs),
            HolderInput::Learned(number) => self.learn(now, number),
            HolderInput::SetChanged(set) => self.adopt(now, set),
            HolderInput::Release => self.release(&mut outputs),
        }
        self.advance(now, &mut outputs);
        outputs
    }

    /// The right to order engines at `now`; `None` without a lease, after its end, and after a gap
    /// in the holder's own steps until a renewal has confirmed it.
    pub fn authority(&self, now: MonotonicTime) -> Option<LeaseAuthority> {
        let HolderPhase::Holding(tenure) = &self.phase else { return None };
        let authority = LeaseAuthority {
            number: tenure.number,
            began: tenure.began,
            ends: tenure.ends,
            epoch: tenure.epoch,
        };
        let stepped = now.since(self.last_step) <= self.settings.gap_limit;
        let confirmed = tenure.confirmed >= tenure.checked_from;
        (stepped && confirmed && authority.is_valid(now)).then_some(authority)
    }

    /// Where the holder stands.
    pub fn phase(&self) -> &HolderPhase {
        &self.phase
    }

    /// The instance that was last seen to hold the lease, which may be this one.
    pub fn known_holder(&self) -> Option<&HolderId> {
        self.known.as_ref()
    }

    /// When [`LeaseHolder::step`] needs a [`HolderInput::Tick`] at the latest.
    pub fn next_tick(&self) -> MonotonicTime {
        match &self.phase {
            HolderPhase::Waiting { until } => *until,
            HolderPhase::Claiming(round) => round.sent + self.settings.renew_interval(),
            HolderPhase::Holding(tenure) => tenure.renew_at.min(tenure.ends),
            HolderPhase::Released => self.last_step + self.settings.term,
        }
    }

    fn check_gap(&mut self, now: MonotonicTime) {
        let stepped = now.since(self.last_step) <= self.settings.gap_limit;
        match &mut self.phase {
            HolderPhase::Holding(tenure) if !stepped => {
                tenure.checked_from = now;
                tenure.renewal = None;
                tenure.renew_at = now;
            }
            _ => {}
        }
    }

    fn check_end(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        match &self.phase {
            HolderPhase::Holding(tenure) if now >= tenure.ends => {
                outputs.push(HolderOutput::Lost(tenure.number));
                self.known = None;
                self.wait_from(now);
            }
            _ => {}
        }
    }

    fn count(
        &mut self,
        now: MonotonicTime,
        from: InstanceName,
        reply: &LeaseReply,
        outputs: &mut Vec<HolderOutput>,
    ) {
        self.floor = self.floor.max(reply.highest);
        self.known = reply.holder.clone().or(self.known.take());
        let round = match &mut self.phase {
            HolderPhase::Claiming(round) => round,
            HolderPhase::Holding(LeaseTenure { renewal: Some(round), .. }) => round,
            _ => return,
        };
        if reply.round != self.round || !self.set.members.contains(&from) {
            return;
        }
        match reply.verdict {
            LeaseVerdict::Granted => drop(round.granted.insert(from)),
            LeaseVerdict::Refused { wait, .. } => {
                round.outbid |= reply.highest >= round.number;
                round.retry_at = round.retry_at.max(now + wait);
                round.refused.insert(from);
            }
        }
        if self.set.is_majority(&round.granted) {
            let round = round.clone();
            self.hold(now, &round, outputs);
        }
    }

    /// Enters or prolongs the tenure after a majority granted `round`.
    fn hold(&mut self, now: MonotonicTime, round: &ClaimRound, outputs: &mut Vec<HolderOutput>) {
        let ends = round.sent + self.settings.term.saturating_sub(self.settings.margin);
        let renew_at = round.sent + self.settings.renew_interval();
        let epoch = self.set.epoch;
        let (began, checked_from, before) = match &self.phase {
            HolderPhase::Holding(tenure) => {
                (tenure.began, tenure.checked_from, Some(tenure.number))
            }
            _ if now >= ends => return,
            _ => (now, round.sent, None),
        };
        self.phase = HolderPhase::Holding(LeaseTenure {
            number: round.number,
            began,
            ends,
            epoch,
            renewal: None,
            renew_at,
            checked_from,
            confirmed: round.sent,
        });
        self.known = Some(self.id.clone());
        if before != Some(round.number) {
            let number = round.number;
            outputs.push(HolderOutput::Acquired(LeaseAuthority { number, began, ends, epoch }));
        }
    }

    fn learn(&mut self, now: MonotonicTime, number: FencingNumber) {
        self.floor = self.floor.max(number);
        match &mut self.phase {
            HolderPhase::Holding(tenure) if number >= tenure.number => {
                // Also for an equal number: it was another holder's.
                self.floor = self.floor.max(number.next());
                tenure.renewal = None;
                tenure.renew_at = now;
            }
            _ => {}
        }
    }

    fn adopt(&mut self, now: MonotonicTime, set: GrantorSet) {
        if set.epoch <= self.set.epoch {
            return;
        }
        self.set = set;
        match &mut self.phase {
            HolderPhase::Claiming(_) => self.wait_from(now),
            HolderPhase::Holding(tenure) => {
                tenure.renewal = None;
                tenure.renew_at = now;
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
            HolderPhase::Holding(tenure) => {
                let number = tenure.number;
                outputs.push(HolderOutput::Lost(number));
                self.send_all(number, RequestKind::Release, outputs);
            }
            HolderPhase::Waiting { .. } | HolderPhase::Released => {}
        }
        self.phase = HolderPhase::Released;
    }

    /// Starts what is due.
    fn advance(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        match &self.phase {
            HolderPhase::Waiting { until } if now >= *until => self.claim(now, outputs),
            HolderPhase::Claiming(round) if self.is_lost(now, round) => {
                let (number, retry_at, outbid) = (round.number, round.retry_at, round.outbid);
                let partly = !round.granted.is_empty();
                if partly {
                    self.send_all(number, RequestKind::Release, outputs);
                }
                let pause = self.settings.renew_interval() / 4;
                self.wait_from(retry_at.max(if outbid { now } else { now + pause }));
            }
            HolderPhase::Holding(tenure) if now >= tenure.renew_at => self.renew(now, outputs),
            _ => {}
        }
    }

    /// True if a claim can't get a majority any more or has waited long enough.
    fn is_lost(&self, now: MonotonicTime, round: &ClaimRound) -> bool {
        let open: BTreeSet<_> = self.set.members.difference(&round.refused).cloned().collect();
        let timed_out = now >= round.sent + self.settings.renew_interval();
        timed_out || !self.set.is_majority(&open)
    }

    fn claim(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        let number = self.floor.next();
        self.send_all(number, RequestKind::Claim, outputs);
        self.phase = HolderPhase::Claiming(new_round(number, now));
    }

    /// Renews under the same number, or claims a higher one if another was seen.
    fn renew(&mut self, now: MonotonicTime, outputs: &mut Vec<HolderOutput>) {
        let HolderPhase::Holding(tenure) = &self.phase else { return };
        let (number, kind) = match self.floor > tenure.number {
            true => (self.floor.next(), RequestKind::Claim),
            false => (tenure.number, RequestKind::Renew),
        };
        self.send_all(number, kind, outputs);
        let interval = self.settings.renew_interval();
        let HolderPhase::Holding(tenure) = &mut self.phase else { return };
        tenure.renewal = Some(new_round(number, now));
        tenure.renew_at = now + interval;
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
            epoch: self.set.epoch,
            round: self.round,
            number,
            term: self.settings.term,
            kind,
        };
        for member in &self.set.members {
            outputs.push(HolderOutput::Send { to: member.clone(), request: request.clone() });
        }
    }

    fn wait_from(&mut self, start: MonotonicTime) {
        let until = start + self.jitter();
        self.phase = HolderPhase::Waiting { until };
    }

    /// A part of the retry spread that differs between candidates and rounds.
    fn jitter(&self) -> Duration {
        let spread = self.settings.retry_spread.as_micros() as u64;
        let mixed = mix(self.seed ^ mix(self.round));
        Duration::from_micros(mixed.checked_rem(spread).unwrap_or(0))
    }
}

fn new_round(number: FencingNumber, now: MonotonicTime) -> ClaimRound {
    ClaimRound {
        number,
        sent: now,
        granted: BTreeSet::new(),
        refused: BTreeSet::new(),
        outbid: false,
        retry_at: now,
    }
}

/// Scrambles a number (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
