//! A plain service's answer.

use http::{HeaderMap, StatusCode};
use wheel_types::RequestOutcome;

use crate::{AnswerBody, CallFailure};

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

impl ServiceAnswer {
    /// Waits for the first piece of the body, or for its end, as [`AnswerBody::begin`] does. The
    /// outcome depends on the head alone, so that a report that nothing ran stands.
    ///
    /// # Errors
    /// [`CallFailure`] if the body breaks off before.
    pub async fn begin(&mut self) -> Result<(), CallFailure> {
        let reported_not_run = self.outcome == RequestOutcome::NotRun;
        self.body.begin().await.map_err(|failure| CallFailure { reported_not_run, ..failure })
    }
}
