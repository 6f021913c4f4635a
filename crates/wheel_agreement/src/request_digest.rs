//! Digests that distinguish a resend from another request under the same key.

use serde::{Deserialize, Serialize};

/// The hash of a request's content.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// The digest of `parts`, for example method, path and body; the boundaries between them count.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }
}
