//! The identity of a data folder.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheel_types::InstanceName;

/// Distinguishes the data folders of an instance: set when a folder is created, and lost with it.
/// It is random, except for an instance's first folder, where settings say which that is.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct FolderIdentity(pub u64);

impl FolderIdentity {
    /// Addresses an instance whatever its folder; no folder has this identity.
    pub const ANY: Self = Self(0);

    /// The identity of the first folder of `instance`. The others know it before they hear of the
    /// folder, so that they agree on a new group's members without a vote. No later folder of the
    /// instance may get it: that one has lost the votes and entries of the first.
    pub fn of_founder(instance: &InstanceName) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("wisteriawheel first data folder");
        hasher.update(instance.as_str().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes).max(1))
    }
}

impl fmt::Display for FolderIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
