//! A caller's request in terms of the product.

use std::sync::Arc;
use std::time::Duration;

use wheel_types::RequestId;

/// One part of a prompt, shared by all requests that carry the same id after the same parts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a generation asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationAsk {
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if one is asked for.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub answer_tokens: u64,
    /// The prompt's parts in order.
    pub parts: Vec<PromptPart>,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IngressRequest {
    /// The caller's id of this attempt.
    pub id: RequestId,
    /// The host that it is for.
    pub host: Arc<str>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The last event that the caller has of an earlier attempt.
    pub resume_after: Option<u64>,
    /// What it generates; `None` for a plain request.
    pub generation: Option<GenerationAsk>,
}
