//! Units that lapse.

use std::collections::VecDeque;

use wheel_types::MonotonicTime;

/// Units that lapse at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AmountBatch {
    /// Units.
    pub amount: u64,
    /// When they lapse.
    pub end: MonotonicTime,
}

/// Units with the times at which they lapse, the earliest first.
#[derive(Clone, Debug, Default)]
pub struct AmountStock {
    batches: VecDeque<AmountBatch>,
}

impl AmountStock {
    /// Adds units. Batches may be added in any order.
    pub fn add(&mut self, batch: AmountBatch) {
        let index = self.batches.partition_point(|held| held.end <= batch.end);
        match index.checked_sub(1).and_then(|before| self.batches.get_mut(before)) {
            _ if batch.amount == 0 => {}
            Some(held) if held.end == batch.end => held.amount += batch.amount,
            _ => self.batches.insert(index, batch),
        }
    }

    /// Drops what has lapsed.
    pub fn drop_lapsed(&mut self, now: MonotonicTime) {
        self.batches.retain(|batch| now < batch.end);
    }

    /// The units that are left.
    pub fn total(&self) -> u64 {
        self.batches.iter().map(|batch| batch.amount).sum()
    }

    /// The units that lapse after `now`.
    pub fn total_after(&self, now: MonotonicTime) -> u64 {
        let left = self.batches.iter().filter(|batch| now < batch.end);
        left.map(|batch| batch.amount).sum()
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    /// Removes up to `amount` of the units that lapse at `end`.
    pub fn remove(&mut self, amount: u64, end: MonotonicTime) {
        for batch in self.batches.iter_mut().filter(|batch| batch.end == end) {
            batch.amount = batch.amount.saturating_sub(amount);
        }
        self.batches.retain(|batch| batch.amount > 0);
    }

    /// Takes `amount` units, or what is left of them, those that lapse first.
    pub fn take(&mut self, amount: u64) -> Vec<AmountBatch> {
        let mut taken = Vec::new();
        let mut lacking = amount;
        while let Some(first) = self.batches.front_mut().filter(|_| lacking > 0) {
            let part = first.amount.min(lacking);
            taken.push(AmountBatch { amount: part, end: first.end });
            first.amount -= part;
            lacking -= part;
            if first.amount == 0 {
                self.batches.pop_front();
            }
        }
        taken
    }
}
