//! Why an order may not be sent.

use std::fmt;

use wheel_types::{FencingNumber, MonotonicTime};

/// A refusal of [`OrderLedger::admit`](crate::OrderLedger::admit). Nothing was recorded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderRefusal {
    /// The lease has ended.
    NoAuthority,
    /// The manifest has no such engine.
    UnknownEngine,
    /// The engine's state wasn't read yet.
    NotRead,
    /// An earlier holder's order may still reach the engine. The engine is settled by a state
    /// requested after `until`, or after [`OrderLedger::fence`](crate::OrderLedger::fence).
    Unsettled {
        /// When no earlier order can arrive any more.
        until: MonotonicTime,
    },
    /// The engine has seen this number from another holder; our own must exceed it.
    Behind(FencingNumber),
    /// The engine is leaving.
    Leaving,
    /// Another order on the same model or adapter of this engine isn't settled.
    Busy,
    /// The model or adapter is present already.
    AlreadyPresent,
    /// The model or adapter isn't present, or not loaded.
    NotPresent,
    /// It doesn't fit in the engine's memory.
    NoMemory {
        /// Memory that is certainly free, in mebibytes.
        free_mib: u64,
    },
    /// The target number of replicas is reached, counting those that are or may be loading.
    EnoughReplicas {
        /// The number of replicas counted.
        counted: usize,
    },
    /// Too many orders aren't settled.
    TableFull,
    /// The engine ignores fencing numbers, so it can't be fenced.
    NotFenced,
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAuthority => f.write_str("the lease has ended"),
            Self::UnknownEngine => f.write_str("no such engine"),
            Self::NotRead => f.write_str("the engine's state was not read yet"),
            Self::Unsettled { until } => write!(f, "earlier orders may arrive until {until}"),
            Self::Behind(number) => write!(f, "the engine has seen fencing number {number}"),
            Self::Leaving => f.write_str("the engine is leaving"),
            Self::Busy => f.write_str("another order for it is not settled"),
            Self::AlreadyPresent => f.write_str("already present"),
            Self::NotPresent => f.write_str("not present"),
            Self::NoMemory { free_mib } => write!(f, "only {free_mib} MiB are free"),
            Self::EnoughReplicas { counted } => write!(f, "{counted} replicas are counted"),
            Self::TableFull => f.write_str("too many orders are not settled"),
            Self::NotFenced => f.write_str("the engine ignores fencing numbers"),
        }
    }
}

impl std::error::Error for OrderRefusal {}
