//! The fields of an OpenAI request that are needed for routing.

use serde::Deserialize;

/// Only the fields that are parsed; the body itself is forwarded to the engine unchanged.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerateBody {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub(crate) model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub(crate) stream: bool,
}
