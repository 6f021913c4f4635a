//! The fields of an OpenAI request that routing needs.

use serde::Deserialize;

/// Only what is read here; the body itself goes to the engine as it came.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerateBody {
    /// `MODEL` or `MODEL:ADAPTER`.
    pub(crate) model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub(crate) stream: bool,
}
