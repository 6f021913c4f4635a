//! The body of an answer that ends with its connection.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::open_answer::OpenAnswer;
use crate::{AnswerBody, AnswerError};

/// A body whose answer counts as open until its last frame.
pub(crate) struct ClosedBody {
    body: AnswerBody,
    answer: Arc<OpenAnswer>,
}

impl ClosedBody {
    /// Opens `answer`, which ends with `body`.
    pub(crate) fn new(body: AnswerBody, answer: Arc<OpenAnswer>) -> Self {
        answer.set_open(!body.is_end_stream());
        Self { body, answer }
    }
}

impl Body for ClosedBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.answer.set_open(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
