//! The time in which a request is served.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use crate::connection_activity::ConnectionActivity;
use crate::{AnswerBody, AnswerError};

/// Ends a request of a connection when it is dropped.
#[derive(Debug)]
pub(crate) struct AnswerGuard {
    activity: Arc<ConnectionActivity>,
}

impl AnswerGuard {
    /// Creates a guard for the request that a connection serves.
    pub(crate) fn new(activity: Arc<ConnectionActivity>) -> Self {
        Self { activity }
    }

    /// Keeps the request open until the body of `response` is dropped.
    pub(crate) fn watch(self, response: Response<AnswerBody>) -> Response<AnswerBody> {
        response.map(|body| GuardedBody { body, _guard: self }.boxed_unsync())
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.activity.end_answer();
    }
}

struct GuardedBody {
    body: AnswerBody,
    _guard: AnswerGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
