//! A share of the weight store's capacity.

use serde::{Deserialize, Serialize};

/// Loads that a data centre may start from the weight store. Also used for adapter loads, whose
/// only limit is the number in flight.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StoreShare {
    /// Loads that may begin per 1,000 seconds.
    pub rate_milli: u64,
    /// Loads in flight at one time.
    pub slots: u32,
}

impl StoreShare {
    /// The sum, saturating.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.saturating_add(other.rate_milli),
            slots: self.slots.saturating_add(other.slots),
        }
    }

    /// The difference, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.saturating_sub(other.rate_milli),
            slots: self.slots.saturating_sub(other.slots),
        }
    }

    /// The smaller value of each field.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.min(other.rate_milli),
            slots: self.slots.min(other.slots),
        }
    }

    /// The larger value of each field.
    pub fn max(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.max(other.rate_milli),
            slots: self.slots.max(other.slots),
        }
    }

    /// True if neither field exceeds that of `total`.
    pub fn fits(self, total: Self) -> bool {
        self.rate_milli <= total.rate_milli && self.slots <= total.slots
    }
}
