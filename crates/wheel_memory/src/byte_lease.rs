//! The bytes that one reader holds.

use crate::{BudgetExhausted, ByteBudget};

/// Bytes taken from a [`ByteBudget`], given back on drop.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteLease {
    pub(crate) fn new(budget: ByteBudget) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Bytes that it holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds `bytes` from now on; less than before is always possible.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if the budget doesn't have them; the lease is unchanged then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.budget.take(more, bytes)?,
            None => self.budget.give_back(self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Counts in the whole budget alone from now on, if it was taken from a part of one.
    pub fn leave_part(&mut self) {
        if let Some(whole) = self.budget.leave(self.bytes) {
            self.budget = whole;
        }
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}
