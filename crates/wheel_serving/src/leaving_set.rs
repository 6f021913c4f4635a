//! Upstreams that the platform's list shows as leaving.

use std::collections::HashSet;

use parking_lot::RwLock;
use wheel_types::UpstreamName;

/// Replaced as a whole with each reading of the list, which bounds it.
#[derive(Debug, Default)]
pub struct LeavingSet {
    names: RwLock<HashSet<UpstreamName>>,
}

impl LeavingSet {
    /// Takes over a list.
    pub fn replace(&self, names: HashSet<UpstreamName>) {
        *self.names.write() = names;
    }

    /// Whether the list shows the upstream as leaving.
    pub fn contains(&self, name: &UpstreamName) -> bool {
        self.names.read().contains(name)
    }
}
