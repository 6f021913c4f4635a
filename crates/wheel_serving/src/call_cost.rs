//! Estimated cost of a request.

use std::time::Duration;

use serde::Deserialize;

/// Expected slot time per byte of the prompt.
const PROMPT_BYTE_COST: Duration = Duration::from_nanos(20_000);
/// Expected slot time per generated token.
const TOKEN_COST: Duration = Duration::from_millis(20);
/// Expected tokens if the request sets no limit.
const DEFAULT_TOKENS: u32 = 128;
/// Upper bound of the expected tokens, whatever the request's limit.
const MAX_TOKENS: u32 = 4_096;
/// Expected slot time of a call to a plain service.
const PLAIN_CALL_COST: Duration = Duration::from_millis(50);

/// Estimates how long a request holds a slot; the queue corrects the estimate by measured times.
#[derive(Clone, Copy, Debug)]
pub struct CallCost;

#[derive(Deserialize)]
struct TokenLimit {
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

impl CallCost {
    /// The cost of a generation, from the prompt's size and the token limit.
    pub fn of_generation(body: &[u8]) -> Duration {
        let limit = serde_json::from_slice::<TokenLimit>(body).ok();
        let tokens = limit.and_then(|limit| limit.max_tokens).unwrap_or(DEFAULT_TOKENS);
        TOKEN_COST * tokens.min(MAX_TOKENS)
            + PROMPT_BYTE_COST * u32::try_from(body.len()).unwrap_or(u32::MAX)
    }

    /// The cost of a call to a plain service.
    pub fn of_plain_call() -> Duration {
        PLAIN_CALL_COST
    }
}
