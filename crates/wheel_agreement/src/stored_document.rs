//! A configuration document that the group stores.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The bytes of a configuration document, exactly as they were sent, with its version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredDocument {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The document, which isn't interpreted here.
    #[serde(with = "crate::byte_field")]
    pub bytes: Arc<[u8]>,
}
