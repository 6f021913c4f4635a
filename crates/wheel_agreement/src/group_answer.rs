//! Answers of the replicated state machine.

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestHash;
use wheel_types::ManifestRevision;

use crate::{CallAnswer, ClaimHolder};

/// Result of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GroupAnswer {
    /// Result of [`crate::GroupAction::ApplyManifest`].
    Manifest(ManifestAnswer),
    /// Result of [`crate::GroupAction::AdoptDocument`].
    Document(DocumentAnswer),
    /// Result of all other actions.
    Claim(ClaimAnswer),
}

/// Result of storing a configuration document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DocumentAnswer {
    /// It is the newest.
    Adopted,
    /// One with the same or a higher version is stored already; nothing was done.
    Kept {
        /// The stored version.
        version: u64,
    },
    /// It is larger than the limit; nothing was done.
    TooLarge,
}

/// Result of a manifest change. A resend gets the same answer again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ManifestAnswer {
    /// It was accepted.
    Accepted {
        /// Its revision.
        revision: ManifestRevision,
        /// Its chained hash.
        hash: ManifestHash,
    },
    /// Another manifest was accepted since the base revision.
    Conflict {
        /// The newest revision at that moment.
        revision: ManifestRevision,
        /// Its chained hash.
        hash: ManifestHash,
    },
    /// The key belongs to another request; nothing was done.
    KeyReused,
    /// The delta doesn't apply to its base revision; nothing was done.
    BrokenDelta,
    /// The manifest or the key is larger than the limit; nothing was done.
    TooLarge,
}

/// Result of an action on a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimAnswer {
    /// The holder, and nobody else, may send the call, once. Its own resent claim is granted again.
    Granted,
    /// Another request under the same key is in progress.
    InProgress {
        /// Who sends it.
        holder: ClaimHolder,
    },
    /// The call ran.
    Finished {
        /// What it answered.
        answer: CallAnswer,
    },
    /// The key belongs to a request with another content; nothing was done.
    Mismatch,
    /// The call may have run; it won't be sent again.
    Unknown,
    /// The claim table is full; nothing was done.
    Full,
    /// Key, names and ids together are longer than the limit; nothing was done.
    TooLarge,
    /// The claim was released: the holder must not send the call under this request any more.
    Released,
    /// There is no such claim, or another holder has it; nothing was done.
    NotHeld,
}
