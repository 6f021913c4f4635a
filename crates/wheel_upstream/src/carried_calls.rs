//! The calls that a connection has carried.

use std::hash::{BuildHasher, RandomState};

use wheel_seams::is_planted;

/// Maximum number of calls over one connection. It bounds the memory for their ids to 4 KiB.
const MAX_CALLS: usize = 512;

/// The hash of a call's id. Two ids with the same hash only cost a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallMark(u64);

/// Computes the marks of one pool.
#[derive(Default)]
pub(crate) struct MarkSource {
    seed: RandomState,
}

/// The calls sent over one connection.
///
/// An upstream may write an earlier answer of the connection once more where the answer to the
/// present call is expected. Both may bear the same id only if both calls do, so that a connection
/// carries each id once.
#[derive(Debug, Default)]
pub(crate) struct CarriedCalls {
    marks: Vec<CallMark>,
}

impl MarkSource {
    /// The mark of the call with this id.
    pub(crate) fn mark(&self, id: &str) -> CallMark {
        CallMark(self.seed.hash_one(id))
    }
}

impl CarriedCalls {
    /// Whether any further call may be carried.
    pub(crate) fn is_full(&self) -> bool {
        self.marks.len() >= MAX_CALLS
    }

    /// Whether this call may be carried.
    pub(crate) fn allows(&self, call: CallMark) -> bool {
        !self.is_full() && (!self.marks.contains(&call) || is_planted("call_id_carried_twice"))
    }

    /// Records that this call is sent.
    pub(crate) fn record(&mut self, call: CallMark) {
        self.marks.push(call);
    }
}
