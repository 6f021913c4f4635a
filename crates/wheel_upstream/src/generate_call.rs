//! A generation call.

use bytes::Bytes;
use http::HeaderMap;
use wheel_types::EngineCall;

use crate::CallTimeouts;

/// The path of a generation request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GeneratePath {
    /// `/v1/chat/completions`.
    ChatCompletions,
    /// `/v1/completions`.
    Completions,
}

impl GeneratePath {
    /// The path as in the request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ChatCompletions => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }
}

/// One generation, with its body in the OpenAI format.
#[derive(Clone, Debug)]
pub struct GenerateCall {
    /// Id, rank and the index of the token to resume from.
    pub call: EngineCall,
    /// The path of the request.
    pub path: GeneratePath,
    /// Headers beyond those of the protocol, for example those that an instance sends to an owner.
    pub headers: HeaderMap,
    /// The body in JSON.
    pub body: Bytes,
    /// The timeouts.
    pub timeouts: CallTimeouts,
}
