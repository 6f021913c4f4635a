//! The body of an answer.

use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, sleep};
use wheel_memory::{ByteLease, LeasedBuffer};
use wheel_seams::is_planted;

use crate::pooled_call::PooledCall;
use crate::{AnswerFraming, ArrivalClock, CallFailure, FailureKind};

/// Time between two attempts to take memory for an answer.
const MEMORY_POLL: Duration = Duration::from_millis(10);

/// The body of an answer. Bytes are read from the connection only as fast as the reader asks for
/// them.
///
/// A success that only the end of its connection completes has broken off if it has no byte: nothing
/// shows that its upstream meant to end there.
pub struct AnswerBody {
    call: PooledCall,
    body: Incoming,
    framing: AnswerFraming,
    is_success: bool,
    arrivals: ArrivalClock,
    /// The piece that [`AnswerBody::begin`] has read and [`AnswerBody::next`] has yet to yield.
    first: Option<Bytes>,
    begun: bool,
    ended: bool,
}

impl AnswerBody {
    pub(crate) fn new(call: PooledCall, body: Incoming, head: &Parts) -> Self {
        let framing = AnswerFraming::of(head, !body.is_end_stream());
        let mut answer = Self {
            call,
            body,
            framing,
            is_success: head.status.is_success(),
            arrivals: ArrivalClock::start(),
            first: None,
            begun: false,
            ended: false,
        };
        if answer.body.is_end_stream() && framing.has_explicit_end() {
            answer.finish();
        }
        answer
    }

    /// How its end is marked.
    pub fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// When its bytes arrived; the head counts as the first.
    pub fn arrivals(&self) -> &ArrivalClock {
        &self.arrivals
    }

    /// Waits for the first piece, which the next call of [`AnswerBody::next`] yields, or for the end.
    /// Until then no part of the answer has been forwarded, so that it can still be replaced.
    /// Cancel-safe.
    ///
    /// # Errors
    /// As for [`AnswerBody::next`].
    pub async fn begin(&mut self) -> Result<(), CallFailure> {
        if self.first.is_none() && !self.begun {
            self.first = self.next().await?;
        }
        Ok(())
    }

    /// The next piece; `None` after a complete body and after a failure. Cancel-safe: dropping the
    /// future loses no data.
    ///
    /// # Errors
    /// [`CallFailure`] if the body is cut short or unreadable, or nothing arrives in time.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CallFailure> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        if self.framing == AnswerFraming::Unreadable && !self.ended {
            let message = "neither plain bytes nor chunks".to_owned();
            return Err(self.fail(FailureKind::BadAnswer { message }));
        }
        while !self.ended {
            let timeouts = self.call.timeouts();
            let limit = if self.begun { timeouts.progress } else { timeouts.first_byte };
            match self.call.wait(limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    self.call.record_arrival();
                    self.arrivals.record();
                    self.begun = true;
                    // A reader that knows the length doesn't ask for the end.
                    if self.framing == AnswerFraming::Length && self.body.is_end_stream() {
                        self.finish();
                    }
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(_))) => return Err(self.fail(FailureKind::CutShort)),
                Ok(None) if self.is_unproved() => return Err(self.fail(FailureKind::CutShort)),
                Ok(None) => self.finish(),
                Err(kind) => return Err(self.fail(kind)),
            }
        }
        Ok(None)
    }

    /// Reads the whole body, up to `limit` bytes.
    ///
    /// # Errors
    /// [`CallFailure`] as for [`AnswerBody::next`], or if the body is larger than `limit` or than
    /// the memory for it.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, CallFailure> {
        if self.body.size_hint().lower() > limit as u64 {
            return Err(self.fail(FailureKind::TooLarge));
        }
        let mut whole = LeasedBuffer::new(self.lease());
        if self.framing == AnswerFraming::Length {
            let size =
                self.body.size_hint().lower() as usize + self.first.as_ref().map_or(0, Bytes::len);
            self.reserve(&mut whole, size).await;
        }
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(self.fail(FailureKind::TooLarge));
            }
            whole.push(&piece).map_err(|refused| self.fail(FailureKind::NoMemory { refused }))?;
        }
        // Kept for as long as the caller takes to read it, which isn't the upstream's doing.
        whole.leave_part();
        Ok(whole.freeze())
    }

    /// Waits until there is memory for all of a body with a length, as long as the call may take. Until
    /// then nothing is read, so that answers don't hold parts that none of them can complete.
    async fn reserve(&self, whole: &mut LeasedBuffer, size: usize) {
        let end = self.call.deadline().unwrap_or(Instant::now() + self.call.timeouts().progress);
        while whole.reserve(size).is_err() && Instant::now() < end {
            sleep(MEMORY_POLL).await;
        }
    }

    /// Whether the whole body has been read.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// A lease for bytes of the body that are kept.
    pub fn lease(&self) -> ByteLease {
        self.call.lease()
    }

    /// Closes the connection and returns the failure for `kind`.
    pub(crate) fn fail(&mut self, kind: FailureKind) -> CallFailure {
        self.ended = true;
        // The head of the answer has arrived, so that the call was certainly sent.
        CallFailure::maybe_sent(self.call.fail(kind).kind)
    }

    /// Whether nothing that has arrived shows that the answer is complete.
    fn is_unproved(&self) -> bool {
        self.is_success
            && self.framing == AnswerFraming::Close
            && !self.begun
            && !is_planted("cut_answer_taken")
    }

    fn finish(&mut self) {
        self.ended = true;
        self.call.finish();
    }
}
