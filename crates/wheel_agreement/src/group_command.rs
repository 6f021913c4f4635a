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
    /// it run back.
    pub leader_ms: u64,
    /// What to do.
    pub action: GroupAction,
}

/// What a command does.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GroupAction {
    /// Replaces the operators' text, if nobody replaced it meanwhile.
    ApplyText {
        /// The revision that the text was edited from.
        base: ManifestRevision,
        /// Marks resends.
        key: IdempotencyKey,
        /// The digest of the operator's request.
        digest: RequestDigest,
        /// What changed since `base`.
        delta: ManifestDelta,
    },
    /// Takes a whole configuration document over, if its version is the highest so far.
    AdoptDocument {
        /// The document's version.
        version: u64,
        /// The document as its operator sent it.
        bytes: Arc<[u8]>,
    },
    /// Claims a call that must not run twice, before it goes out.
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
        /// Who claimed it; anyone else changes nothing.
        holder: ClaimHolder,
        /// The answer.
        answer: CallAnswer,
    },
    /// Gives a claim up whose call provably never left and never will.
    ReleaseCall {
        /// The call.
        claim: ClaimId,
        /// Who claimed it; anyone else changes nothing.
        holder: ClaimHolder,
    },
    /// Marks a claim whose outcome won't be learned: its holder died or lost the connection.
    AbandonCall {
        /// The call.
        claim: ClaimId,
        /// Who claimed it; another holder's claim isn't touched.
        holder: ClaimHolder,
    },
}
