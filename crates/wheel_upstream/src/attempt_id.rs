//! Ids of the attempts to send a request.

use std::fmt;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU64, Ordering};

use wheel_types::RequestId;

/// Identifies one attempt to send a request, so that a late cancel of a broken stream can't end the
/// stream that was resumed under the same request id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptId(u64);

impl AttemptId {
    /// Converts it to a request id, which an upstream repeats in its answer.
    pub(crate) fn to_request_id(self) -> RequestId {
        RequestId::new(self.to_string())
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Generates attempt ids; another process generates the same one with a probability of 1 in 2^64.
#[derive(Debug)]
pub(crate) struct AttemptSource {
    seed: RandomState,
    next: AtomicU64,
}

impl AttemptSource {
    /// Creates a source with a random seed.
    pub(crate) fn new() -> Self {
        Self { seed: RandomState::new(), next: AtomicU64::new(0) }
    }

    /// The next id.
    pub(crate) fn next(&self) -> AttemptId {
        AttemptId(self.seed.hash_one(self.next.fetch_add(1, Ordering::Relaxed)))
    }
}
