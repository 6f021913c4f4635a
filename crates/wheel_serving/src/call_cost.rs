//! What a request is expected to take.

use std::time::Duration;

use serde::Deserialize;

/// Expected time of a prompt's byte in a slot.
const PROMPT_BYTE: Duration = Duration::from_nanos(20_000);
/// Expected time of a token in a slot.
const TOKEN: Duration = Duration::from_millis(20);
/// Tokens that are expected where the request sets no limit.
const DEFAULT_TOKENS: u32 = 128;
/// Most tokens that are believed, whatever the request's limit.
const MAX_TOKENS: u32 = 4_096;
/// Expected time of a plain service's call in a slot.
const PLAIN_CALL: Duration = Duration::from_millis(50);

/// Estimates the time that a request holds a slot; the queue corrects it by what it measures.
#[derive(Clone, Copy, Debug)]
pub struct CallCost;

#[derive(Deserialize)]
struct TokenLimit {
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

impl CallCost {
    /// The cost of a generation, by its prompt's size and its limit of tokens.
    pub fn of_generation(body: &[u8]) -> Duration {
        let limit = serde_json::from_slice::<TokenLimit>(body).ok();
        let tokens = limit.and_then(|limit| limit.max_tokens).unwrap_or(DEFAULT_TOKENS);
        TOKEN * tokens.min(MAX_TOKENS) + PROMPT_BYTE * u32::try_from(body.len()).unwrap_or(u32::MAX)
    }

    /// The cost of a plain service's call.
    pub fn of_plain_call() -> Duration {
        PLAIN_CALL
    }
}
