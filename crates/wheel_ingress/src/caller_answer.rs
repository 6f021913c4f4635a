//! An answer to a caller.

use http::{HeaderMap, StatusCode};
use wheel_types::RequestOutcome;

use crate::AnswerBody;

/// The final answer to a request.
#[derive(Debug)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// Headers, except those that the server sets itself.
    pub headers: HeaderMap,
    /// The body.
    pub body: AnswerBody,
}

impl CallerAnswer {
    /// An answer without headers.
    pub fn new(status: StatusCode, outcome: RequestOutcome, body: AnswerBody) -> Self {
        Self { status, outcome, headers: HeaderMap::new(), body }
    }
}
