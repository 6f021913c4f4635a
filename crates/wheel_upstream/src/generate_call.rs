//! A generation call.

use bytes::Bytes;
use http::HeaderMap;
use wheel_types::EngineCall;

use crate::CallTimeouts;

/// Which of the two generation paths.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GeneratePath {
    /// `/v1/chat/completions`.
    ChatCompletions,
    /// `/v1/completions`.
    Completions,
}

impl GeneratePath {
    /// The path.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ChatCompletions => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// One generation, with its body in the OpenAI shape.
#[derive(Clone, Debug)]
pub struct GenerateCall {
    /// Id, rank and the token to go on from.
    pub call: EngineCall,
    /// Where it goes.
    pub path: GeneratePath,
    /// Headers beyond those of the protocol, for example an instance's to an owner.
    pub headers: HeaderMap,
    /// The body, JSON.
    pub body: Bytes,
    /// Its timeouts.
    pub timeouts: CallTimeouts,
}
