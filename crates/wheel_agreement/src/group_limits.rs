//! Bounds of the replicated state machine.

use serde::{Deserialize, Serialize};

/// Limits of what the state machine keeps. All instances of a group must use the same limits, or
/// their states differ; a change of the defaults is a change of the protocol version.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GroupLimits {
    /// The largest manifest, in bytes; larger ones are refused.
    pub max_manifest_bytes: usize,
    /// Number of answers to operators kept for resends; the oldest are dropped first.
    pub max_manifest_answers: usize,
    /// Number of claims kept; further ones are refused.
    pub max_claims: usize,
    /// How long a claim is kept, in milliseconds of group time.
    pub claim_ttl_ms: u64,
    /// The largest answer kept of a call, in bytes; larger ones are recorded without their body.
    pub max_answer_bytes: usize,
    /// Total size of the answers kept of calls, in bytes; beyond it they are recorded without a
    /// body.
    pub max_answers_bytes: usize,
}

impl Default for GroupLimits {
    fn default() -> Self {
        Self {
            max_manifest_bytes: 4 << 20,
            max_manifest_answers: 4_096,
            max_claims: 32_768,
            claim_ttl_ms: 6 * 60 * 60 * 1_000,
            max_answer_bytes: 4 << 10,
            max_answers_bytes: 8 << 20,
        }
    }
}
