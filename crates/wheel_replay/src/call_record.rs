//! State and outcome of each request of a replay.

use std::time::Duration;

use wheel_types::{MonotonicTime, RequestRank};

use crate::TraceArrival;

/// One request, or its retry after a refusal.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// The request as recorded in the trace.
    pub(crate) arrival: TraceArrival,
    /// Its rank.
    pub(crate) rank: RequestRank,
    /// When it arrived.
    pub(crate) arrived_at: MonotonicTime,
    /// When its first byte is due.
    pub(crate) deadline: MonotonicTime,
    /// Index of the data centre that is routing it.
    pub(crate) centre: usize,
    /// Index of the refused request that it retries.
    pub(crate) retry_of: Option<usize>,
    /// Whether it ended an idle period of its model, or arrived right after the request that did.
    pub(crate) is_wake_up: bool,
    /// When its current wait for a load began.
    pub(crate) cold_since: Option<MonotonicTime>,
    /// Total time of its waits for loads.
    pub(crate) cold_wait: Duration,
    /// Whether it was refused while it waited for a load.
    pub(crate) cold_refused: bool,
    /// When the first byte of its answer was sent.
    pub(crate) first_byte: Option<MonotonicTime>,
    /// How it ended; `None` while it is open.
    pub(crate) outcome: Option<CallOutcome>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// It was answered.
    Served,
    /// It was refused and didn't run.
    Refused {
        /// When it was refused.
        at: MonotonicTime,
        /// Time after which its caller was asked to retry.
        retry_after: Duration,
    },
    /// Its engine was lost while it ran, and it must not run twice.
    Unknown,
}

impl CallRecord {
    /// Whether it was answered with its first byte by its deadline.
    pub(crate) fn in_time(&self) -> bool {
        let served = self.outcome == Some(CallOutcome::Served);
        served && self.first_byte.is_some_and(|at| at <= self.deadline)
    }
}
