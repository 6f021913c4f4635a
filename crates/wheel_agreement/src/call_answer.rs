//! The recorded answer of a call.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The response of a call that ran, returned to resends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type; empty for none.
    pub content_type: Arc<str>,
    /// The body, or nothing if it was too large to keep.
    pub body: Option<Arc<[u8]>>,
}

impl CallAnswer {
    /// Size of the variable part, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, |body| body.len())
    }

    /// The answer without its content.
    pub fn without_body(self) -> Self {
        Self { status: self.status, content_type: "".into(), body: None }
    }
}
