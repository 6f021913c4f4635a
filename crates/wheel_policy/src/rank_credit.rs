//! The floor of one rank, as slot time that it is owed.

use std::time::Duration;

/// How much credit is kept, in seconds of the rank's own floor.
const CREDIT_SPAN_S: f64 = 60.0;

/// Slot time that a rank is owed, in seconds of one slot.
///
/// While the rank waits it earns its floor of all slots and pays for the slots it holds. It is owed
/// a slot once its credit isn't negative, so over time it gets its floor exactly, whatever its
/// requests take, without any estimate of their length.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankCredit {
    floor_slots: f64,
    credit_s: f64,
}

impl RankCredit {
    /// A rank that is due `floor_slots` slots on average; may be a fraction.
    pub(crate) fn new(floor_slots: f64) -> Self {
        Self { floor_slots, credit_s: 0.0 }
    }

    /// The average number of slots that the rank is due.
    pub(crate) fn floor_slots(&self) -> f64 {
        self.floor_slots
    }

    /// Accounts for `span`, in which the rank held `running` slots.
    pub(crate) fn advance(&mut self, span: Duration, running: u32, contended: bool) {
        let limit = self.floor_slots * CREDIT_SPAN_S;
        let earned = (self.floor_slots - f64::from(running)) * span.as_secs_f64();
        match contended {
            true => self.credit_s = (self.credit_s + earned).clamp(-limit, limit),
            false => self.credit_s = self.recovered(span),
        }
    }

    /// Whether the rank may pass more urgent work now.
    pub(crate) fn is_owed(&self, running: u32) -> bool {
        let within = f64::from(running) < self.floor_slots.ceil();
        self.floor_slots > 0.0 && self.credit_s >= 0.0 && within
    }

    /// Slots that nobody else wanted cost nothing: credit goes back towards zero.
    fn recovered(&self, span: Duration) -> f64 {
        let step = self.floor_slots * span.as_secs_f64();
        match self.credit_s {
            credit if credit < 0.0 => (credit + step).min(0.0),
            credit => (credit - step).max(0.0),
        }
    }
}
