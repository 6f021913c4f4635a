//! Limits the loads of one data centre from the weight store.

use std::time::Duration;

use wheel_types::{CentreName, MonotonicTime};

use crate::{AllocationRequest, StoreAllocation, StoreSettings, StoreShare};

/// The budget of one data centre, kept by the holder of its lease: its safe share, plus what is
/// allocated to it for as long as the allocation lasts.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreBudget {
    settings: StoreSettings,
    centre: CentreName,
    round: u64,
    requested_at: MonotonicTime,
    allocated: StoreShare,
    allocated_until: MonotonicTime,
    in_flight: u32,
    /// Loads that may begin at once, in billionths.
    credit: u64,
    accrued_at: MonotonicTime,
}

/// Why a load may not begin now.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoreRefusal {
    /// All slots are taken, or the allocation of the free one could end before the load.
    NoSlot,
    /// The rate is used up.
    NoRate {
        /// Time until a load may begin.
        wait: Duration,
    },
}

impl StoreBudget {
    /// Opens the budget of a new holder that found `in_flight` loads in progress.
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
            requested_at: now,
            allocated: StoreShare::default(),
            allocated_until: now,
            in_flight,
            credit: 0,
            accrued_at: now,
        }
    }

    /// Creates a request for an allocation. Answers to earlier requests are ignored from now on.
    pub fn request_allocation(
        &mut self,
        now: MonotonicTime,
        wanted: StoreShare,
    ) -> AllocationRequest {
        self.round += 1;
        self.requested_at = now;
        AllocationRequest { centre: self.centre.clone(), round: self.round, wanted }
    }

    /// Applies the allocator's answer; the allocation's term is measured from the request.
    pub fn accept(&mut self, now: MonotonicTime, allocation: &StoreAllocation) {
        if allocation.round != self.round {
            return;
        }
        self.accrue(now);
        self.allocated = allocation.share;
        self.allocated_until =
            self.requested_at + allocation.term.saturating_sub(self.settings.margin);
    }

    /// The share that the data centre may use now.
    pub fn share(&self, now: MonotonicTime) -> StoreShare {
        let safe = self.settings.safe_share(&self.centre);
        match now < self.allocated_until {
            true => safe.plus(self.allocated),
            false => safe,
        }
    }

    /// Begins a load.
    ///
    /// # Errors
    /// The reason why the load must wait.
    pub fn begin_load(&mut self, now: MonotonicTime) -> Result<(), StoreRefusal> {
        self.accrue(now);
        if self.in_flight >= self.slots(now) {
            return Err(StoreRefusal::NoSlot);
        }
        if self.credit < CREDIT_PER_LOAD {
            let rate = self.share(now).rate_milli.max(1);
            let wait = Duration::from_micros((CREDIT_PER_LOAD - self.credit).div_ceil(rate));
            return Err(StoreRefusal::NoRate { wait });
        }
        self.credit -= CREDIT_PER_LOAD;
        self.in_flight += 1;
        Ok(())
    }

    /// Ends a load, whether it succeeded or not.
    pub fn finish_load(&mut self) {
        debug_assert!(self.in_flight > 0, "more loads finished than begun");
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Loads in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots for a load that begins now; allocated slots count only if the allocation outlasts the
    /// load.
    fn slots(&self, now: MonotonicTime) -> u32 {
        self.share(now).min(self.share(now + self.settings.longest_load)).slots
    }

    /// Adds the credit earned since the last call, at the rate that applied at each moment.
    fn accrue(&mut self, now: MonotonicTime) {
        let safe = self.settings.safe_share(&self.centre).rate_milli;
        let allocated_end = self.allocated_until.min(now);
        let allocated =
            self.allocated.rate_milli * allocated_end.since(self.accrued_at).as_micros() as u64;
        let own = safe * now.since(self.accrued_at).as_micros() as u64;
        let limit = CREDIT_PER_LOAD.max(self.share(now).rate_milli * MAX_CREDIT_MICROS);
        self.credit = self.credit.saturating_add(allocated).saturating_add(own).min(limit);
        self.accrued_at = self.accrued_at.max(now);
    }
}

/// Credit of one load. Credit is a rate in loads per 1,000 seconds times microseconds, so that one
/// load is 1,000 s in microseconds.
const CREDIT_PER_LOAD: u64 = 1_000_000_000;

/// Longest time over which unused credit accumulates, in microseconds.
const MAX_CREDIT_MICROS: u64 = 1_000_000;
