//! The shared secret of a group.

use std::fmt;
use std::sync::Arc;

/// Proves that an instance belongs to the group. Never shown in debug output.
#[derive(Clone)]
pub struct PeerSecret(Arc<[u8]>);

impl PeerSecret {
    /// Wraps the secret's bytes.
    pub fn new(secret: impl Into<Arc<[u8]>>) -> Self {
        Self(secret.into())
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}
