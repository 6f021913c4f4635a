//! Upstreams that the platform's list shows as leaving.

use std::collections::HashSet;

use parking_lot::RwLock;
use wheel_types::UpstreamName;

/// The upstreams that leave. Replaced as a whole each time the list is read, which bounds its size.
#[derive(Debug, Default)]
pub struct LeavingSet {
    names: RwLock<HashSet<UpstreamName>>,
}

impl LeavingSet {
    /// Replaces the set by that of a new list.
    pub fn replace(&self, names: HashSet<UpstreamName>) {
        *self.names.write() = names;
    }

    /// Whether the list shows the upstream as leaving.
    pub fn contains(&self, name: &UpstreamName) -> bool {
        self.names.read().contains(name)
    }
}
