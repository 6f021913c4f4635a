//! Accounts for the guaranteed share (floor) of one rank in slot time.

use std::time::Duration;

/// Bound of the credit in either direction, in seconds of the rank's floor.
const CREDIT_SPAN_S: f64 = 60.0;

/// Slot time by which a rank is below its floor, in seconds of one slot; negative above it.
///
/// While the rank competes with others, the credit grows by its floor of all slots and shrinks by
/// the slots that it holds. The rank counts as below its floor while its credit isn't negative, so
/// over time it gets its floor exactly, however long its requests take and without an estimate of
/// their length.
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
        let change = (self.floor_slots - f64::from(running)) * span.as_secs_f64();
        match contended {
            true => self.credit_s = (self.credit_s + change).clamp(-limit, limit),
            false => self.credit_s = self.recovered(span),
        }
    }

    /// Whether the rank may go before more urgent ranks now.
    pub(crate) fn is_below_floor(&self, running: u32) -> bool {
        let has_fewer_slots = f64::from(running) < self.floor_slots.ceil();
        self.floor_slots > 0.0 && self.credit_s >= 0.0 && has_fewer_slots
    }

    /// The credit after `span` without contention: unused slots don't count, so it returns to
    /// zero.
    fn recovered(&self, span: Duration) -> f64 {
        let step = self.floor_slots * span.as_secs_f64();
        match self.credit_s {
            credit if credit < 0.0 => (credit + step).min(0.0),
            credit => (credit - step).max(0.0),
        }
    }
}
