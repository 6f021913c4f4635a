//! Answers of the replicated state machine.

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestHash;
use wheel_types::ManifestRevision;

use crate::{CallAnswer, ClaimHolder};

/// What became of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GroupAnswer {
    /// Of [`crate::GroupAction::ApplyText`].
    Text(TextAnswer),
    /// Of [`crate::GroupAction::AdoptDocument`].
    Document(DocumentAnswer),
    /// Of all other actions.
    Claim(ClaimAnswer),
}

/// What became of a configuration document.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DocumentAnswer {
    /// It is the newest.
    Adopted,
    /// One with the same or a higher version was there before; nothing was done.
    Kept {
        /// The version that stays.
        version: u64,
    },
    /// It is larger than the state machine takes; nothing was done.
    TooLarge,
}

/// What became of a text. Operators are told the same again when they resend it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TextAnswer {
    /// It was accepted.
    Accepted {
        /// Its revision.
        revision: ManifestRevision,
        /// Its chained hash.
        hash: ManifestHash,
    },
    /// Another text was accepted since the base revision.
    Conflict {
        /// The newest revision at that moment.
        revision: ManifestRevision,
        /// Its chained hash.
        hash: ManifestHash,
    },
    /// The key belongs to another request; nothing was done.
    KeyReused,
    /// The difference doesn't fit its base revision; nothing was done.
    BrokenDelta,
    /// The text or the key is larger than the state machine takes; nothing was done.
    TooLarge,
}

/// What became of a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ClaimAnswer {
    /// The holder, and nobody else, may send the call, once. Its own resent claim is granted again.
    Granted,
    /// Another request under the same key is being answered.
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
    /// The claims are full; nothing was done.
    Full,
    /// Key, names and ids together are longer than the state machine takes; nothing was done.
    TooLarge,
    /// The claim was given up: the holder must not send the call under this request any more.
    Released,
    /// The claim isn't there or is another holder's; nothing was done.
    NotHeld,
}
