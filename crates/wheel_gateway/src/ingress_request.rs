//! A caller's request, independent of its wire format.

use std::sync::Arc;
use std::time::Duration;

use wheel_route::KeyDigest;
use wheel_types::RequestId;

/// One part of a prompt. Requests share it if they have the same id after the same preceding parts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Parameters of a generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationRequest {
    /// The model.
    pub model: Arc<str>,
    /// The adapter, if one is requested.
    pub adapter: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u64,
    /// The prompt's parts in order.
    pub parts: Vec<PromptPart>,
}

impl GenerationRequest {
    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// The key that a request carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credential {
    /// It carries none.
    Missing,
    /// It carries something that can't be a key, or several keys.
    Malformed,
    /// It carries one, of which only the digest is kept.
    Key(KeyDigest),
}

/// The decoded head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IngressRequest {
    /// The caller's id of this attempt.
    pub id: RequestId,
    /// The requested host.
    pub host: Arc<str>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The last event that the caller received in an earlier attempt.
    pub resume_after: Option<u64>,
    /// Parameters of the generation; `None` for a request that needs no model.
    pub generation: Option<GenerationRequest>,
    /// Tokens of the prompt and of the longest answer together; `None` if the request doesn't state
    /// them.
    pub tokens: Option<u64>,
    /// The caller's key.
    pub credential: Credential,
}
