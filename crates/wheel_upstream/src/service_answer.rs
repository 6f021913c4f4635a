//! A plain service's answer.

use http::{HeaderMap, StatusCode};
use wheel_types::RequestOutcome;

use crate::AnswerBody;

/// The answer to a call, checked to carry the call's id.
pub struct ServiceAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those of the connection; they include the service's outcome and id.
    pub headers: HeaderMap,
    /// Whether the call ran: as reported by the service, otherwise `unknown` for a server error and
    /// `ran` for everything else.
    pub outcome: RequestOutcome,
    /// The body.
    pub body: AnswerBody,
}
