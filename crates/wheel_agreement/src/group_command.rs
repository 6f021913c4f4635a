//! Commands of the replicated state machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestDelta;
use wheel_types::ManifestRevision;

use crate::{CallAnswer, ClaimHolder, ClaimId, IdempotencyKey, RequestDigest};

/// A command with the time at which the leader proposed it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GroupCommand {
    /// The group's time in milliseconds, from [`crate::GroupClock`]. The state machine never lets
    /// it go back.
    pub leader_ms: u64,
    /// What to do.
    pub action: GroupAction,
}

/// What a command does.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GroupAction {
    /// Replaces the operators' manifest, unless it was replaced meanwhile.
    ApplyManifest {
        /// The revision that the manifest was edited from.
        base: ManifestRevision,
        /// Identifies resends.
        key: IdempotencyKey,
        /// The digest of the operator's request.
        digest: RequestDigest,
        /// What changed since `base`.
        delta: ManifestDelta,
    },
    /// Stores a whole configuration document, if its version is the highest so far.
    AdoptDocument {
        /// The document's version.
        version: u64,
        /// The document as its operator sent it.
        #[serde(with = "crate::byte_field")]
        bytes: Arc<[u8]>,
    },
    /// Claims a call that must not run twice, before it is sent.
    ClaimCall {
        /// The call.
        claim: ClaimId,
        /// The digest of the caller's request.
        digest: RequestDigest,
        /// Who sends it.
        holder: ClaimHolder,
    },
    /// Records the answer of a claimed call.
    FinishCall {
        /// The call.
        claim: ClaimId,
        /// Who claimed it; for any other holder nothing changes.
        holder: ClaimHolder,
        /// The answer.
        answer: CallAnswer,
    },
    /// Releases a claim whose call was provably never sent and never will be.
    ReleaseCall {
        /// The call.
        claim: ClaimId,
        /// Who claimed it; for any other holder nothing changes.
        holder: ClaimHolder,
    },
    /// Marks the outcome of a claim as unknown: its holder died or lost the connection.
    AbandonCall {
        /// The call.
        claim: ClaimId,
        /// Who claimed it; for any other holder nothing changes.
        holder: ClaimHolder,
    },
}
