//! Faults that a fake shows.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::RequestId;

/// What a fake does wrong from now on; the default is nothing.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct FaultPlan {
    /// Milliseconds that pass after the run and before the answer.
    pub answer_delay_ms: u64,
    /// Answers carry this id instead of their own.
    pub answer_id: Option<RequestId>,
    /// Each event of a stream is sent twice.
    pub double_events: bool,
    /// The token of this index is left out of streams.
    pub skip_index: Option<u64>,
    /// Answers end after this many tokens, or bytes of a plain service, without their proper end.
    pub cut_after: Option<u64>,
    /// The request runs, then the connection closes without an answer.
    pub close_before_answer: bool,
    /// The request runs and is never answered.
    pub never_answer: bool,
    /// Accepted connections are never read from.
    pub never_read: bool,
    /// Requests are refused as not run.
    pub refuse: bool,
    /// Old fencing numbers are ignored.
    pub ignore_fencing: bool,
}

impl FaultPlan {
    /// Lets the time between run and answer pass.
    pub(crate) async fn delay_answer(&self) {
        // Even a sleep of no time costs a tick of the timer.
        if self.answer_delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(self.answer_delay_ms)).await;
        }
    }
}
