//! Participants of the replicated log.

use std::fmt;

use serde::{Deserialize, Serialize};
use wheel_types::InstanceName;

use crate::FolderIdentity;

/// A participant: an instance together with the identity of its data folder. An instance that lost
/// its folder comes back as another participant, which remembers no vote.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct NodeId {
    /// The instance, which is also the address of messages.
    pub instance: InstanceName,
    /// The identity of its data folder.
    pub identity: FolderIdentity,
}

impl NodeId {
    /// Combines an instance's name and its folder's identity.
    pub fn new(instance: impl Into<InstanceName>, identity: u64) -> Self {
        Self { instance: instance.into(), identity: FolderIdentity(identity) }
    }

    /// The first folder of `instance`, see [`FolderIdentity::of_founder`].
    pub fn founder(instance: InstanceName) -> Self {
        Self { identity: FolderIdentity::of_founder(&instance), instance }
    }

    /// Whether this is the first folder of its instance.
    pub fn is_founder(&self) -> bool {
        self.identity == FolderIdentity::of_founder(&self.instance)
    }

    /// Addresses an instance whose folder's identity isn't known.
    pub fn any(instance: InstanceName) -> Self {
        Self { instance, identity: FolderIdentity::ANY }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.identity)
    }
}
