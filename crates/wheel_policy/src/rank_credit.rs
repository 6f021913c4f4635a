//! Accounts for the guaranteed share (floor) of one rank in slot time.

use std::time::Duration;

/// Bound of the credit in either direction, in seconds of the rank's floor.
const CREDIT_SPAN_S: f64 = 60.0;

/// Slot time that a rank is owed, in seconds of one slot.
///
/// While the rank competes with others, it earns its floor of all slots and pays for the slots that
/// it holds. It is owed a slot while its credit isn't negative, so over time it gets its floor
/// exactly, however long its requests take and without an estimate of their length.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankCredit {
    floor_slots: f64,
    credit_s: f64,
}

impl RankCredit {
    /// Credit for a rank that is guaranteed `floor_slots` slots on average; may be a fraction.
    pub(crate) fn new(floor_slots: f64) -> Self {
        Self { floor_slots, credit_s: 0.0 }
    }

    /// Average number of slots that the rank is guaranteed.
    pub(crate) fn floor_slots(&self) -> f64 {
        self.floor_slots
    }

    /// Accounts for `span`, in which the rank held `running` slots; `contended` means that other
    /// ranks waited.
    pub(crate) fn advance(&mut self, span: Duration, running: u32, contended: bool) {
        let limit = self.floor_slots * CREDIT_SPAN_S;
        let earned = (self.floor_slots - f64::from(running)) * span.as_secs_f64();
        match contended {
            true => self.credit_s = (self.credit_s + earned).clamp(-limit, limit),
            false => self.credit_s = self.recovered(span),
        }
    }

    /// Whether the rank may go before more urgent ranks now.
    pub(crate) fn is_owed(&self, running: u32) -> bool {
        let within = f64::from(running) < self.floor_slots.ceil();
        self.floor_slots > 0.0 && self.credit_s >= 0.0 && within
    }

    /// The credit after `span` without contention: unused slots cost nothing, so it returns to
    /// zero.
    fn recovered(&self, span: Duration) -> f64 {
        let step = self.floor_slots * span.as_secs_f64();
        match self.credit_s {
            credit if credit < 0.0 => (credit + step).min(0.0),
            credit => (credit - step).max(0.0),
        }
    }
}
