//! How the weight store is split between data centres.

use std::time::Duration;

use wheel_types::CentreName;

use crate::StoreShare;

/// The split of the store, the same at all instances because it follows from the committed
/// manifest.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreSettings {
    /// The total capacity of the store at full speed.
    pub total: StoreShare,
    /// All data centres.
    pub centres: Vec<CentreName>,
    /// The part that is reserved for allocations, in thousandths.
    pub pool_permille: u64,
    /// How long an allocation lasts; longer than the longest load.
    pub allocation_term: Duration,
    /// A data centre ends an allocation this long before the allocator does. It covers the clock
    /// drift over one term.
    pub margin: Duration,
    /// Longest time of a load at full speed. An allocated slot isn't used for a load that could
    /// outlast the allocation.
    pub longest_load: Duration,
}

impl StoreSettings {
    /// The share that `centre` may always use, even when it is partitioned off. Slots that can't be
    /// split evenly go to the first data centres of the list.
    pub fn safe_share(&self, centre: &CentreName) -> StoreShare {
        let Some(index) = self.centres.iter().position(|other| other == centre) else {
            return StoreShare::default();
        };
        let safe_permille = 1_000 - self.pool_permille.min(1_000);
        let count = self.centres.len() as u64;
        let slots = u64::from(self.total.slots) * safe_permille / 1_000;
        let extra = u64::from((index as u64) < slots % count);
        StoreShare {
            rate_milli: self.total.rate_milli * safe_permille / 1_000 / count,
            slots: (slots / count + extra) as u32,
        }
    }

    /// The share that is available for allocations: the total minus all safe shares.
    pub fn pool(&self) -> StoreShare {
        let shares = self.centres.iter().map(|centre| self.safe_share(centre));
        self.total.minus(shares.fold(StoreShare::default(), StoreShare::plus))
    }
}
