//! An answer that isn't streamed.

use bytes::Bytes;

/// A complete generation in the OpenAI format.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteAnswer {
    /// The body in JSON.
    pub body: Bytes,
}
