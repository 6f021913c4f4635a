//! What a data centre may draw from the weight store.

use std::time::Duration;

use wheel_types::{CentreName, MonotonicTime};

use crate::{LoanRequest, StoreLoan, StoreSettings, StoreShare};

/// The budget of one data centre, run by the holder of its lease: its safe share, and what it has
/// borrowed as long as the loan lasts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreBudget {
    settings: StoreSettings,
    centre: CentreName,
    round: u64,
    asked: MonotonicTime,
    lent: StoreShare,
    lent_until: MonotonicTime,
    in_flight: u32,
    /// Loads that may begin at once, in billionths.
    credit: u64,
    counted: MonotonicTime,
}

/// Why a load may not begin now.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoreRefusal {
    /// All slots are taken, or a lent one would not last for the load.
    NoSlot,
    /// The rate is used up.
    NoRate {
        /// How long it takes until a load may begin.
        wait: Duration,
    },
}

impl StoreBudget {
    /// Opens the budget of a new holder, which found `in_flight` loads under way.
    pub fn open(
        settings: StoreSettings,
        centre: CentreName,
        in_flight: u32,
        now: MonotonicTime,
    ) -> Self {
        Self {
            settings,
            centre,
            round: 0,
            asked: now,
            lent: StoreShare::default(),
            lent_until: now,
            in_flight,
            credit: 0,
            counted: now,
        }
    }

    /// Makes a request for a loan. An answer to an earlier one is passed over from now on.
    pub fn ask(&mut self, now: MonotonicTime, wanted: StoreShare) -> LoanRequest {
        self.round += 1;
        self.asked = now;
        LoanRequest { centre: self.centre.clone(), round: self.round, wanted }
    }

    /// Takes the lender's answer; it counts from when the request was made.
    pub fn accept(&mut self, now: MonotonicTime, loan: &StoreLoan) {
        if loan.round != self.round {
            return;
        }
        self.accrue(now);
        self.lent = loan.share;
        self.lent_until = self.asked + loan.term.saturating_sub(self.settings.margin);
    }

    /// What the data centre may use now.
    pub fn share(&self, now: MonotonicTime) -> StoreShare {
        let safe = self.settings.safe_share(&self.centre);
        match now < self.lent_until {
            true => safe.plus(self.lent),
            false => safe,
        }
    }

    /// Begins a load, or says why it must wait.
    pub fn begin_load(&mut self, now: MonotonicTime) -> Result<(), StoreRefusal> {
        self.accrue(now);
        if self.in_flight >= self.slots(now) {
            return Err(StoreRefusal::NoSlot);
        }
        if self.credit < ONE_LOAD {
            let rate = self.share(now).rate_milli.max(1);
            let wait = Duration::from_micros((ONE_LOAD - self.credit).div_ceil(rate));
            return Err(StoreRefusal::NoRate { wait });
        }
        self.credit -= ONE_LOAD;
        self.in_flight += 1;
        Ok(())
    }

    /// Ends a load, whatever became of it.
    pub fn finish_load(&mut self) {
        debug_assert!(self.in_flight > 0, "more loads finished than begun");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Loads under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots for a load that begins now: lent ones only if the loan outlasts it.
    fn slots(&self, now: MonotonicTime) -> u32 {
        self.share(now).min(self.share(now + self.settings.longest_load)).slots
    }

    /// Adds the credit since the last count, at the rate of each moment in between.
    fn accrue(&mut self, now: MonotonicTime) {
        let safe = self.settings.safe_share(&self.centre).rate_milli;
        let lent_end = self.lent_until.min(now);
        let lent = self.lent.rate_milli * lent_end.since(self.counted).as_micros() as u64;
        let kept = safe * now.since(self.counted).as_micros() as u64;
        let most = ONE_LOAD.max(self.share(now).rate_milli * SECOND_MICROS);
        self.credit = self.credit.saturating_add(lent).saturating_add(kept).min(most);
        self.counted = self.counted.max(now);
    }
}

/// One load, in billionths: a rate of loads in 1,000 seconds times microseconds.
const ONE_LOAD: u64 = 1_000_000_000;

/// Credit is kept for so long at most.
const SECOND_MICROS: u64 = 1_000_000;
