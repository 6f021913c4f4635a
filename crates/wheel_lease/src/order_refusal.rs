//! Why an order may not be given.

use std::fmt;

use wheel_types::{FencingNumber, MonotonicTime};

/// A refusal of [`OrderLedger::admit`](crate::OrderLedger::admit). Nothing was recorded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderRefusal {
    /// The lease has ended.
    NoAuthority,
    /// The text has no such engine.
    UnknownEngine,
    /// The engine's state wasn't read yet.
    NotRead,
    /// An earlier holder's order may still reach the engine. A read that is asked for after
    /// `until` settles it, or one after [`OrderLedger::fence`](crate::OrderLedger::fence).
    Unsettled {
        /// When no earlier order can arrive any more.
        until: MonotonicTime,
    },
    /// The engine has seen this number from another holder; the own must exceed it.
    Behind(FencingNumber),
    /// The engine is leaving.
    Leaving,
    /// Another order on the same model or adapter of this engine isn't settled.
    Busy,
    /// The model or adapter is there already.
    AlreadyPresent,
    /// The model or adapter isn't there, or not loaded.
    NotPresent,
    /// The engine's memory wouldn't hold it.
    NoMemory {
        /// Memory that is free for certain, in mebibytes.
        free_mib: u64,
    },
    /// As many replicas as decided are there, loading, or may be.
    EnoughReplicas {
        /// How many are counted.
        counted: usize,
    },
    /// Too many orders aren't settled.
    TableFull,
    /// The engine ignores fencing numbers, so that it can't be fenced.
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
