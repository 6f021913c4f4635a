//! A plain service's answer.

use http::{HeaderMap, StatusCode};
use wheel_types::RequestOutcome;

use crate::AnswerBody;

/// The answer to the very call that was made.
pub struct ServiceAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection; the service's own outcome and id are in them.
    pub headers: HeaderMap,
    /// Whether the call ran: the service's own word, else `unknown` for a server error and `ran`
    /// for all else.
    pub outcome: RequestOutcome,
    /// The body.
    pub body: AnswerBody,
}
