//! The body of an answer.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::pooled_call::PooledCall;
use crate::{CallFailure, FailureKind};

/// The rest of an answer, read from its connection only as fast as its reader asks.
pub struct AnswerBody {
    call: PooledCall,
    body: Incoming,
    begun: bool,
    ended: bool,
}

impl AnswerBody {
    pub(crate) fn new(call: PooledCall, body: Incoming, head: &Parts) -> Self {
        let mut answer = Self { call, body, begun: false, ended: false };
        if answer.body.is_end_stream() && has_marked_end(head.status, &head.headers) {
            answer.finish();
        }
        answer
    }

    /// The next piece; `None` after the proper end. After a failure the body is over. Dropping the
    /// future loses nothing.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CallFailure> {
        while !self.ended {
            let timeouts = self.call.timeouts();
            let limit = if self.begun { timeouts.progress } else { timeouts.first_byte };
            match self.call.wait(limit, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    self.call.note_arrival();
                    self.begun = true;
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
                Ok(Some(Err(_))) => return Err(self.fail(FailureKind::CutShort)),
                Ok(None) => self.finish(),
                Err(kind) => return Err(self.fail(kind)),
            }
        }
        Ok(None)
    }

    /// Reads all of it, up to `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, CallFailure> {
        let mut whole = Vec::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(self.fail(FailureKind::TooLarge));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.into())
    }

    /// Ends the body and its connection because of `kind`.
    pub(crate) fn fail(&mut self, kind: FailureKind) -> CallFailure {
        self.ended = true;
        // The head of the answer has come, so that the call has certainly left.
        CallFailure::maybe_sent(self.call.fail(kind).kind)
    }

    fn finish(&mut self) {
        self.ended = true;
        self.call.finish();
    }
}

/// True if the end of such an answer can be told from a connection that broke.
pub(crate) fn has_marked_end(status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    bodiless || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
