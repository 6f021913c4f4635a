//! Faults that a fake injects.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, Response};
use serde::{Deserialize, Serialize};
use wheel_types::RequestId;

/// Faults that a fake injects from now on; none by default.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct FaultPlan {
    /// Delay between the run and the answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// Delay between reading the engine's state and the answer, in milliseconds.
    pub state_delay_ms: u64,
    /// Answers carry this id instead of their own.
    pub answer_id: Option<RequestId>,
    /// Each event of a stream is sent twice.
    pub double_events: bool,
    /// The token with this index is left out of streams.
    pub skip_index: Option<u64>,
    /// Answers are cut off after this many tokens, or bytes of a plain service.
    pub cut_after: Option<u64>,
    /// The request runs, and then the connection closes without an answer.
    pub close_before_answer: bool,
    /// The request runs and is never answered.
    pub never_answer: bool,
    /// Accepted connections are never read from.
    pub never_read: bool,
    /// Requests are refused as not run.
    pub refuse: bool,
    /// `Retry-After` of such refusals, in seconds.
    pub retry_after_s: Option<f64>,
    /// The fake reports that it is leaving, and refuses new work.
    pub leaving: bool,
    /// Old fencing numbers are ignored.
    pub ignore_fencing: bool,
}

impl FaultPlan {
    /// Adds the `Retry-After` of refusals to one.
    pub(crate) fn add_retry_after<B>(&self, refusal: &mut Response<B>) {
        let value = self.retry_after_s.map(|seconds| HeaderValue::try_from(seconds.to_string()));
        if let Some(Ok(value)) = value {
            refusal.headers_mut().insert(RETRY_AFTER, value);
        }
    }

    /// Waits for the delay between run and answer.
    pub(crate) async fn delay_answer(&self) {
        delay(self.answer_delay_ms).await;
    }

    /// Waits for the delay between reading the state and the answer.
    pub(crate) async fn delay_state(&self) {
        delay(self.state_delay_ms).await;
    }
}

async fn delay(delay_ms: u64) {
    // Even a sleep of zero duration takes a tick of the timer.
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
