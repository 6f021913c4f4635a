//! Digest of a team's key.

use std::fmt;

use sha2::{Digest, Sha256};

/// The SHA-256 digest of a key. The key itself is dropped as soon as its digest is known, so that no
/// log, message or debug text can contain it, and comparing digests reveals nothing about keys.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
