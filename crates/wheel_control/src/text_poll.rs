//! How instances ask each other for newer texts.

use serde::{Deserialize, Serialize};
use wheel_agreement::TextUpdate;
use wheel_manifest::ManifestHash;
use wheel_types::{InstanceName, ManifestRevision};

/// Asks for what follows a revision; answered as soon as there is something newer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TextPoll {
    /// The revision held.
    pub revision: ManifestRevision,
    /// Its hash.
    pub hash: ManifestHash,
    /// How long to wait for something newer, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a [`TextPoll`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TextReply {
    /// What leads to the newest text.
    pub update: TextUpdate,
    /// The instance from which the answering one follows the text; `None` at a control instance.
    pub parent: Option<InstanceName>,
}
