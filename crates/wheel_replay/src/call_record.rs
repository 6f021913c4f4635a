//! What became of each request of a replay.

use std::time::Duration;

use wheel_types::{MonotonicTime, RequestRank};

use crate::TraceArrival;

/// One request, or its return after a refusal.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// What was sent.
    pub(crate) arrival: TraceArrival,
    /// Its rank.
    pub(crate) rank: RequestRank,
    /// When it came.
    pub(crate) came: MonotonicTime,
    /// When its first byte is due.
    pub(crate) deadline: MonotonicTime,
    /// Data centre that looks for a replica for it now.
    pub(crate) centre: usize,
    /// The refused request that it repeats.
    pub(crate) repeats: Option<usize>,
    /// Whether it came within the first moments after a quiet spell of its model.
    pub(crate) wakes: bool,
    /// Since when it waits for a load.
    pub(crate) cold_since: Option<MonotonicTime>,
    /// How long it waited for loads.
    pub(crate) cold_wait: Duration,
    /// Whether it was refused while it waited for a load.
    pub(crate) cold_refused: bool,
    /// When its first byte came.
    pub(crate) first_byte: Option<MonotonicTime>,
    /// How it ended.
    pub(crate) ending: Option<CallEnding>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEnding {
    /// It was answered.
    Served,
    /// It was refused as not run.
    Refused {
        /// When.
        at: MonotonicTime,
        /// When it was asked to come back.
        retry_after: Duration,
    },
    /// It may have run; nothing tells.
    Unknown,
}

impl CallRecord {
    /// Whether its first byte came by its deadline.
    pub(crate) fn in_time(&self) -> bool {
        let served = self.ending == Some(CallEnding::Served);
        served && self.first_byte.is_some_and(|at| at <= self.deadline)
    }
}
