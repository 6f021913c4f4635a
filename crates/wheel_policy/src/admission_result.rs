//! Results of offering a request to a queue.

use std::time::Duration;

use crate::QueuedRequest;

/// The result of [`crate::EngineQueue::offer`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionResult {
    /// The request waits.
    Queued {
        /// Expected time until it gets a slot.
        wait: Duration,
        /// Requests of its rank and of more urgent ranks that waited when it arrived.
        ahead: usize,
    },
    /// The request was not taken and will not run here.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which a retry is expected to be served.
        retry_after: Duration,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The expected wait exceeds the deadline.
    TooLate,
    /// While it waited, the deadline passed or could no longer be met.
    Expired,
    /// The rank's share of the queue is full.
    QueueFull,
    /// The caller's share of the queue is full.
    CallerFull,
    /// It needs more KV cache than the engine has.
    TooLarge,
    /// The queue already holds or runs a request with this id.
    Duplicate,
    /// The rank isn't in the manifest.
    UnknownRank,
}

impl RefusalReason {
    /// The reason as a label for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too-late",
            Self::Expired => "expired",
            Self::QueueFull => "queue-full",
            Self::CallerFull => "caller-full",
            Self::TooLarge => "too-large",
            Self::Duplicate => "duplicate",
            Self::UnknownRank => "unknown-rank",
        }
    }
}

/// A request that was taken out of a queue before it ran, with the refusal to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedRequest {
    /// The request, no longer in the queue.
    pub request: QueuedRequest,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time after which to retry.
    pub retry_after: Duration,
}
