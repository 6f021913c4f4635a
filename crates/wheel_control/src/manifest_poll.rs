//! Polls between instances for newer manifests.

use serde::{Deserialize, Serialize};
use wheel_agreement::ManifestUpdate;
use wheel_manifest::ManifestHash;
use wheel_types::{InstanceName, ManifestRevision};

/// Requests what follows a revision; answered once there is something newer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestPoll {
    /// The revision held.
    pub revision: ManifestRevision,
    /// Its hash.
    pub hash: ManifestHash,
    /// How long to wait for something newer, in milliseconds.
    pub wait_ms: u64,
}

/// The answer to a [`ManifestPoll`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestReply {
    /// The update to the newest manifest.
    pub update: ManifestUpdate,
    /// The instance from which the answering one polls the manifest; `None` at a control instance.
    pub parent: Option<InstanceName>,
}
