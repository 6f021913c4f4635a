//! The answer to a short call.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;

/// A complete answer to a short call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DirectAnswer {
    /// The status.
    pub status: StatusCode,
    /// The time for which the upstream asks not to be called.
    pub rest: Option<Duration>,
    /// The body.
    pub body: Bytes,
}
