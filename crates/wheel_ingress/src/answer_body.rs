//! Bodies of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// Why a body ended early. The connection is then closed without a clean end, so that a caller
/// never takes a partial answer for a complete one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum AnswerError {
    /// The upstream's answer was cut short and couldn't be resumed.
    #[snafu(display("answer broke off: {reason}"))]
    BrokeOff {
        /// The observed error.
        reason: String,
    },
}

/// The body of any answer, streamed or complete.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerError>;

/// A body with the given bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body without bytes.
pub fn empty_body() -> AnswerBody {
    full_body(Bytes::new())
}
