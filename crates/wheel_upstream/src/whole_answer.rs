//! An answer that isn't streamed.

use bytes::Bytes;

/// A whole generation in the OpenAI shape.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WholeAnswer {
    /// The body, JSON.
    pub body: Bytes,
}
