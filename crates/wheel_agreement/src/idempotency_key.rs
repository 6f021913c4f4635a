//! Keys by which callers and operators mark resends.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The value of an `Idempotency-Key` header: two requests with the same one are the same request.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// The longest key accepted with a manifest change, in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Wraps a header's value.
    pub fn new(key: impl Into<Arc<str>>) -> Self {
        Self(key.into())
    }

    /// The key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
