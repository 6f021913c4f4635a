//! The identity of a group of voters.

use serde::{Deserialize, Serialize};

use crate::NodeId;

/// Distinguishes groups that were formed separately; messages of another group are dropped.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct GroupId(pub u64);

impl GroupId {
    /// No group: the data folder is empty.
    pub const NONE: Self = Self(0);

    /// The group that the initial `voters` form. Where their identities are random, a group that is
    /// formed again has another id; the first folders of the same instances form but one.
    pub fn of_voters<'a>(voters: impl Iterator<Item = &'a NodeId>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for voter in voters {
            hasher.update(&(voter.instance.as_str().len() as u64).to_le_bytes());
            hasher.update(voter.instance.as_str().as_bytes());
            hasher.update(&voter.identity.0.to_le_bytes());
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes).max(1))
    }
}
