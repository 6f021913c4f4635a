//! Limits the bytes that a process keeps of others.
//!
//! A [`ByteBudget`] limits the sum of what many readers hold. Each reader has a [`ByteLease`], or a
//! [`LeasedBuffer`], which returns its bytes when it is dropped.

mod byte_budget;
mod byte_lease;
mod leased_buffer;

pub use byte_budget::{BudgetExhausted, BudgetScope, ByteBudget, process_budget};
pub use byte_lease::ByteLease;
pub use leased_buffer::LeasedBuffer;
