//! A configuration document that the group stores.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The bytes of a configuration document, exactly as they were sent, with its version.
#[derive(Clone, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredDocument {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The document, which isn't interpreted here.
    #[serde(with = "crate::byte_field")]
    pub bytes: Arc<[u8]>,
}

/// Without the bytes, which contain teams' keys.
impl fmt::Debug for StoredDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("StoredDocument");
        text.field("version", &self.version).field("size", &self.bytes.len()).finish()
    }
}
