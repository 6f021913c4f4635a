//! The table's entry of another member.

use wheel_types::{IncarnationId, MonotonicTime};

use crate::{InstanceAddress, LiveMember, MemberRecord, MemberSettings, MemberUpdate, UpdateKind};

/// One other instance of the own data centre.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    /// Its last record; from the platform's list until a record of its own arrives.
    pub(crate) record: MemberRecord,
    /// Its liveness.
    pub(crate) phase: MemberPhase,
    /// True if the platform's list shows it.
    pub(crate) listed: bool,
    /// The incarnation that was known when the list first showed it as leaving.
    pub(crate) listed_leaving: Option<IncarnationId>,
    /// How often it answered again after it was declared dead, in one incarnation.
    pub(crate) flaps: u32,
    /// It is left out of the view until then.
    pub(crate) held_until: MonotonicTime,
    /// When the phase last changed.
    pub(crate) since: MonotonicTime,
}

/// The liveness of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MemberPhase {
    /// Only listed; it hasn't answered yet.
    Unconfirmed,
    /// It answers.
    Alive,
    /// It doesn't answer; it is dead unless it refutes this by then.
    Suspect(MonotonicTime),
    /// It didn't refute a suspicion in time.
    Dead,
    /// It shut down.
    Left,
}

impl MemberEntry {
    /// An instance known from the platform's list only.
    pub(crate) fn listed(address: InstanceAddress, now: MonotonicTime) -> Self {
        let record = MemberRecord {
            address,
            incarnation: IncarnationId::default(),
            version: 0,
            leaving: false,
        };
        Self { listed: true, ..Self::unconfirmed(record, now) }
    }

    /// An instance that wasn't known before, and that hasn't answered yet.
    pub(crate) fn unconfirmed(record: MemberRecord, now: MonotonicTime) -> Self {
        Self {
            record,
            phase: MemberPhase::Unconfirmed,
            listed: false,
            listed_leaving: None,
            flaps: 0,
            held_until: now,
            since: now,
        }
    }

    /// Applies the member's own record; true if it was new.
    pub(crate) fn apply_alive(
        &mut self,
        now: MonotonicTime,
        record: &MemberRecord,
        settings: &MemberSettings,
    ) -> bool {
        let known = self.phase != MemberPhase::Unconfirmed;
        let left = self.phase == MemberPhase::Left;
        let restarted = record.incarnation > self.record.incarnation;
        let newer = record.stamp() > self.record.stamp();
        if known && (!newer || (left && !restarted)) {
            return false;
        }
        match self.phase {
            _ if restarted => self.reset_flaps(now),
            MemberPhase::Dead => self.record_flap(now, settings),
            _ => {}
        }
        self.record = record.clone();
        self.enter(now, MemberPhase::Alive);
        true
    }

    /// Applies a report of others; true if it was new.
    pub(crate) fn apply_report(
        &mut self,
        now: MonotonicTime,
        stamp: (IncarnationId, u32),
        kind: UpdateKind,
        settings: &MemberSettings,
    ) -> bool {
        let current = stamp >= self.record.stamp();
        let incarnation = stamp.0 >= self.record.incarnation;
        let next = match (kind, self.phase) {
            (UpdateKind::Left, phase) if incarnation && phase != MemberPhase::Left => {
                MemberPhase::Left
            }
            (UpdateKind::Suspect, MemberPhase::Alive) if current => {
                MemberPhase::Suspect(now + settings.suspicion_time)
            }
            (UpdateKind::Dead, MemberPhase::Alive | MemberPhase::Suspect(_)) if current => {
                MemberPhase::Dead
            }
            _ => return false,
        };
        (self.record.incarnation, self.record.version) = stamp.max(self.record.stamp());
        self.enter(now, next);
        true
    }

    /// The update to send to others; `None` for an instance that never answered.
    pub(crate) fn update(&self) -> Option<MemberUpdate> {
        let kind = match self.phase {
            MemberPhase::Unconfirmed => return None,
            MemberPhase::Alive => return Some(MemberUpdate::Alive(self.record.clone())),
            MemberPhase::Suspect(_) => UpdateKind::Suspect,
            MemberPhase::Dead => UpdateKind::Dead,
            MemberPhase::Left => UpdateKind::Left,
        };
        Some(MemberUpdate::Reported {
            name: self.record.address.name.clone(),
            incarnation: self.record.incarnation,
            version: self.record.version,
            kind,
        })
    }

    /// How it appears in the view; `None` if it doesn't.
    pub(crate) fn live(&self, now: MonotonicTime) -> Option<LiveMember> {
        let shown = self.is_active() && now >= self.held_until;
        let by_list = self.listed_leaving == Some(self.record.incarnation);
        shown.then(|| LiveMember {
            address: self.record.address.clone(),
            incarnation: Some(self.record.incarnation),
            leaving: self.record.leaving || by_list,
            suspect: matches!(self.phase, MemberPhase::Suspect(_)),
        })
    }

    /// True if it participates: alive, or only suspected.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self.phase, MemberPhase::Alive | MemberPhase::Suspect(_))
    }

    /// Enters `phase`.
    pub(crate) fn enter(&mut self, now: MonotonicTime, phase: MemberPhase) {
        self.phase = phase;
        self.since = now;
    }

    fn reset_flaps(&mut self, now: MonotonicTime) {
        self.flaps = 0;
        self.held_until = now;
    }

    fn record_flap(&mut self, now: MonotonicTime, settings: &MemberSettings) {
        self.flaps += 1;
        let doubled = settings.hold_time * 2_u32.pow(self.flaps.min(MAX_COUNTED_FLAPS) - 1);
        self.held_until = now + doubled;
    }
}

/// Each flap after the first doubles the hold time, up to this many flaps.
const MAX_COUNTED_FLAPS: u32 = 5;
