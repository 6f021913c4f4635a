//! How the weight store is split between data centres.

use std::time::Duration;

use wheel_types::CentreName;

use crate::StoreShare;

/// The split of the store, the same everywhere because it follows from the committed text.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreSettings {
    /// The store's whole capacity at full speed.
    pub whole: StoreShare,
    /// All data centres.
    pub centres: Vec<CentreName>,
    /// The part that is kept for loans, in thousandths.
    pub pool_permille: u64,
    /// How long a loan lasts; longer than the longest load.
    pub loan_term: Duration,
    /// A borrower ends a loan this long before the lender does. It covers the difference of the
    /// clocks' rates over one term.
    pub margin: Duration,
    /// How long a load takes at most at full speed. A lent slot isn't used for a load that could
    /// outlast the loan.
    pub longest_load: Duration,
}

impl StoreSettings {
    /// What `centre` may always use, also when it is cut off. Slots that can't be split evenly go
    /// to the first data centres of the list.
    pub fn safe_share(&self, centre: &CentreName) -> StoreShare {
        let Some(place) = self.centres.iter().position(|other| other == centre) else {
            return StoreShare::default();
        };
        let kept = 1_000 - self.pool_permille.min(1_000);
        let count = self.centres.len() as u64;
        let slots = u64::from(self.whole.slots) * kept / 1_000;
        let extra = u64::from((place as u64) < slots % count);
        StoreShare {
            rate_milli: self.whole.rate_milli * kept / 1_000 / count,
            slots: (slots / count + extra) as u32,
        }
    }

    /// What is lent: the whole without all safe shares.
    pub fn pool(&self) -> StoreShare {
        let shares = self.centres.iter().map(|centre| self.safe_share(centre));
        self.whole.minus(shares.fold(StoreShare::default(), StoreShare::plus))
    }
}
