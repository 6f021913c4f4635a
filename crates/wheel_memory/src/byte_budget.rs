//! A limit on the bytes that many readers hold together.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock};

use snafu::Snafu;

use crate::ByteLease;

/// Bytes up to which a lease is small. Most answers and bodies are.
const SMALL_LEASE_BYTES: usize = 64 << 10;
/// The part of a budget that only small leases may use, as its divisor.
const SMALL_LEASE_DIVISOR: usize = 4;
/// Limit of the process's budget while the memory of the process isn't known.
const DEFAULT_LIMIT_BYTES: usize = 128 << 20;

static PROCESS: LazyLock<ByteBudget> = LazyLock::new(|| ByteBudget::new(DEFAULT_LIMIT_BYTES));

/// The budget for all bytes that this process keeps of others.
pub fn process_budget() -> &'static ByteBudget {
    &PROCESS
}

/// A lease can't grow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{scope} holds as many bytes as it may"))]
pub struct BudgetExhausted {
    /// Whose limit is reached.
    pub scope: BudgetScope,
}

/// Whose limit is reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BudgetScope {
    /// That of the whole budget.
    Whole,
    /// That of a part, such as one upstream's.
    Part,
}

impl fmt::Display for BudgetScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Whole => "the process",
            Self::Part => "its part of the process",
        })
    }
}

/// A limit on the bytes that all leases hold together. Clones are handles to the same budget.
///
/// ```
/// use wheel_memory::ByteBudget;
///
/// let budget = ByteBudget::new(1 << 20);
/// let mut lease = budget.lease();
/// assert!(lease.resize(1_000).is_ok());
/// assert_eq!(budget.held(), 1_000);
/// drop(lease);
/// assert_eq!(budget.held(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct ByteBudget {
    state: Arc<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    held: AtomicUsize,
    limit: BudgetLimit,
}

#[derive(Debug)]
enum BudgetLimit {
    Bytes(AtomicUsize),
    Part { whole: ByteBudget, divisor: usize },
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_limit(BudgetLimit::Bytes(AtomicUsize::new(limit)))
    }

    /// A budget whose leases count here too, and may hold one `divisor`th of this budget.
    pub fn part(&self, divisor: usize) -> Self {
        Self::with_limit(BudgetLimit::Part { whole: self.clone(), divisor: divisor.max(1) })
    }

    fn with_limit(limit: BudgetLimit) -> Self {
        Self { state: Arc::new(BudgetState { held: AtomicUsize::new(0), limit }) }
    }

    /// Changes the limit, in bytes, for leases that grow from now on. The limit of a part follows
    /// that of the whole and isn't changed.
    pub fn set_limit(&self, limit: usize) {
        if let BudgetLimit::Bytes(bytes) = &self.state.limit {
            bytes.store(limit, Ordering::Relaxed);
        }
    }

    /// The limit, in bytes.
    pub fn limit(&self) -> usize {
        match &self.state.limit {
            BudgetLimit::Bytes(bytes) => bytes.load(Ordering::Relaxed),
            BudgetLimit::Part { whole, divisor } => whole.limit() / divisor,
        }
    }

    /// Bytes that leases hold at present.
    pub fn held(&self) -> usize {
        self.state.held.load(Ordering::Relaxed)
    }

    /// An empty lease.
    pub fn lease(&self) -> ByteLease {
        ByteLease::new(self.clone())
    }

    /// Takes `more` bytes for a lease that then holds `size`.
    pub(crate) fn take(&self, more: usize, size: usize) -> Result<(), BudgetExhausted> {
        let limit = match size <= SMALL_LEASE_BYTES {
            true => self.limit(),
            false => self.limit() - self.limit() / SMALL_LEASE_DIVISOR,
        };
        let add = |held: usize| held.checked_add(more).filter(|held| *held <= limit);
        let taken = self.state.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        match (&self.state.limit, taken) {
            (BudgetLimit::Bytes(_), Ok(_)) => Ok(()),
            (BudgetLimit::Bytes(_), Err(_)) => Err(BudgetExhausted { scope: BudgetScope::Whole }),
            (BudgetLimit::Part { whole, .. }, Ok(_)) => whole.take(more, size).inspect_err(|_| {
                self.state.held.fetch_sub(more, Ordering::Relaxed);
            }),
            (BudgetLimit::Part { .. }, Err(_)) => Err(BudgetExhausted { scope: BudgetScope::Part }),
        }
    }

    /// Gives `bytes` of a lease back to this part alone; the whole still holds them.
    pub(crate) fn leave(&self, bytes: usize) -> Option<ByteBudget> {
        let BudgetLimit::Part { whole, .. } = &self.state.limit else { return None };
        self.state.held.fetch_sub(bytes, Ordering::Relaxed);
        Some(whole.clone())
    }

    /// Gives back bytes of a lease.
    pub(crate) fn give_back(&self, bytes: usize) {
        self.state.held.fetch_sub(bytes, Ordering::Relaxed);
        if let BudgetLimit::Part { whole, .. } = &self.state.limit {
            whole.give_back(bytes);
        }
    }
}
