//! Authenticates that a relayed call comes from an instance of the group.

use std::fmt;

/// Key derivation context that separates this use of the group's secret from others.
const KEY_CONTEXT: &str = "wisteriawheel relay header v1";

/// Signs and verifies relay headers with a key derived from the group's secret.
#[derive(Clone)]
pub struct RelayKey {
    key: [u8; 32],
}

impl RelayKey {
    /// Derives the key. Without a secret the daemon relays over loopback only.
    pub fn derive(secret: &[u8]) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, secret) }
    }

    /// The authentication code for a header value.
    pub fn sign(&self, header: &[u8]) -> String {
        blake3::keyed_hash(&self.key, header).to_hex().to_string()
    }

    /// Whether `code` was made for `header` with the same secret, compared in constant time.
    pub fn verify(&self, header: &[u8], code: &str) -> bool {
        let expected = blake3::keyed_hash(&self.key, header);
        blake3::Hash::from_hex(code).is_ok_and(|code| code == expected)
    }
}

impl fmt::Debug for RelayKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayKey(..)")
    }
}
