//! Token generation of a fake engine.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use wheel_types::RequestId;

use crate::FaultPlan;
use crate::fake_engine_state::FakeEngineState;
use crate::fake_server::{FakeAbort, FakeBody};

/// The text of one token, which is the same on every fake engine for the same request, body and
/// index.
pub fn token_text(request: &RequestId, body: &[u8], index: u64) -> String {
    let mut hasher = DefaultHasher::new();
    (request.as_str(), body, index).hash(&mut hasher);
    format!(" w{}", hasher.finish() % 1_000)
}

/// One generation, which releases its slot when it is dropped.
pub(crate) struct TokenRun {
    pub(crate) engine: Arc<Mutex<FakeEngineState>>,
    pub(crate) number: u64,
    pub(crate) cancelled: CancellationToken,
    pub(crate) slot_grant: Option<oneshot::Receiver<()>>,
    pub(crate) request: RequestId,
    pub(crate) body: Bytes,
    pub(crate) chat: bool,
    pub(crate) next_index: u64,
    pub(crate) max_tokens: u64,
    pub(crate) sent: u64,
    pub(crate) done: bool,
    pub(crate) token_time: Duration,
    pub(crate) faults: FaultPlan,
}

impl TokenRun {
    /// Waits for the slot.
    pub(crate) async fn wait_slot(&mut self) -> Result<(), FakeAbort> {
        match self.slot_grant.take() {
            Some(receiver) => tokio::select! {
                () = self.cancelled.cancelled() => Err(FakeAbort),
                granted = receiver => granted.map_err(|_| FakeAbort),
            },
            None => Ok(()),
        }
    }

    /// Generates all tokens as one text, for an answer that isn't streamed.
    pub(crate) async fn full_text(&mut self) -> Result<String, FakeAbort> {
        self.wait_slot().await?;
        let mut text = String::new();
        while self.next_index < self.max_tokens {
            self.make_token().await?;
            text.push_str(&token_text(&self.request, &self.body, self.next_index));
            self.next_index += 1;
        }
        Ok(text)
    }

    /// Converts the run into a body of server-sent events.
    pub(crate) fn into_body(self) -> FakeBody {
        let events = stream::try_unfold(self, |mut run| async move {
            let event = run.next_event().await?;
            Ok(event.map(|event| (Frame::data(event), run)))
        });
        StreamBody::new(events).boxed_unsync()
    }

    async fn make_token(&self) -> Result<(), FakeAbort> {
        tokio::select! {
            () = self.cancelled.cancelled() => Err(FakeAbort),
            () = tokio::time::sleep(self.token_time) => Ok(()),
        }
    }

    async fn next_event(&mut self) -> Result<Option<Bytes>, FakeAbort> {
        self.wait_slot().await?;
        if self.faults.skip_index == Some(self.next_index) {
            self.next_index += 1;
        }
        match () {
            () if self.done => Ok(None),
            () if self.faults.cut_after.is_some_and(|after| self.sent >= after) => {
                // When a body fails, the server discards what it hasn't written yet.
                self.make_token().await?;
                Err(FakeAbort)
            }
            () if self.next_index >= self.max_tokens => {
                self.done = true;
                Ok(Some(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            () => {
                if !self.token_time.is_zero() {
                    self.make_token().await?;
                }
                let event = self.event();
                (self.next_index, self.sent) = (self.next_index + 1, self.sent + 1);
                Ok(Some(if self.faults.double_events { event.repeat(2).into() } else { event }))
            }
        }
    }

    fn event(&self) -> Bytes {
        let text = token_text(&self.request, &self.body, self.next_index);
        let last = self.next_index + 1 == self.max_tokens;
        let finish = if last { serde_json::json!("length") } else { serde_json::Value::Null };
        let choice = if self.chat {
            serde_json::json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
        } else {
            serde_json::json!({"index": 0, "text": text, "finish_reason": finish})
        };
        let id = self.faults.answer_id.as_ref().unwrap_or(&self.request);
        let chunk = serde_json::json!({
            "id": id,
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "choices": [choice],
            "wheel": {"index": self.next_index},
        });
        Bytes::from(format!("data: {chunk}\n\n"))
    }
}

impl Drop for TokenRun {
    fn drop(&mut self) {
        self.engine.lock().end_call(self.number);
    }
}
