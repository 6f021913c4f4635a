//! Whether a connection carries an incomplete answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::Response;
use http_body_util::BodyExt;

use crate::AnswerBody;
use crate::closed_body::ClosedBody;

/// Whether an answer is open that only the end of its connection completes.
#[derive(Debug, Default)]
pub(crate) struct OpenAnswer {
    is_open: AtomicBool,
}

impl OpenAnswer {
    /// Keeps the answer open until the last frame of the body of `response`.
    pub(crate) fn watch(self: &Arc<Self>, response: Response<AnswerBody>) -> Response<AnswerBody> {
        response.map(|body| ClosedBody::new(body, Arc::clone(self)).boxed_unsync())
    }

    /// Marks the answer as open or complete.
    pub(crate) fn set_open(&self, is_open: bool) {
        self.is_open.store(is_open, Ordering::Release);
    }

    /// Whether it is open.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Acquire)
    }
}
