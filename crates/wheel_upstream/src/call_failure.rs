//! Why a call failed, and whether it may have run.

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use snafu::Snafu;
use wheel_memory::{BudgetExhausted, BudgetScope};
use wheel_types::RequestOutcome;

/// Whether a byte of a call may have been sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SentState {
    /// No byte was sent, and none will be.
    NotSent,
    /// Some bytes were passed to the operating system.
    MaybeSent,
}

/// A call that got no complete answer of its own.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{kind} ({sent:?})"))]
pub struct CallFailure {
    /// Whether a byte of the call may have been sent.
    pub sent: SentState,
    /// Whether the upstream reported, in its answer to this call, that it didn't run it.
    pub reported_not_run: bool,
    /// What happened.
    pub kind: FailureKind,
}

/// What went wrong with a call.
#[derive(Clone, Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FailureKind {
    /// The call can't be expressed as a request.
    #[snafu(display("malformed call: {message}"))]
    Malformed {
        /// What is wrong with it.
        message: String,
    },
    /// No connection could be opened.
    #[snafu(display("connection refused: {message}"))]
    Connect {
        /// The operating system's reason.
        message: String,
    },
    /// No connection was opened in time.
    #[snafu(display("connect timeout"))]
    ConnectTimeout,
    /// The limit of open calls to this upstream is reached.
    #[snafu(display("too many open calls"))]
    TooManyOpen,
    /// The connection closed before an answer began.
    #[snafu(display("connection closed: {message}"))]
    Closed {
        /// The client library's reason.
        message: String,
    },
    /// Nothing arrived for as long as the progress timeout.
    #[snafu(display("no progress"))]
    Silent,
    /// The total time of the call has run out.
    #[snafu(display("deadline exceeded"))]
    Deadline,
    /// The upstream answered with an error status.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The status.
        status: StatusCode,
        /// The body, truncated at the limit for answers that aren't streamed.
        body: Bytes,
        /// The time for which the upstream asks not to be called.
        rest: Option<Duration>,
    },
    /// The answer carries the id of another call, or none.
    #[snafu(display("answer to another request"))]
    ForeignAnswer,
    /// A token is missing from the stream.
    #[snafu(display("token {expected} is missing, got {found}"))]
    TokenGap {
        /// The expected index.
        expected: u64,
        /// The received index.
        found: u64,
    },
    /// The answer ended without being complete.
    #[snafu(display("answer cut short"))]
    CutShort,
    /// The answer can't be parsed.
    #[snafu(display("malformed answer: {message}"))]
    BadAnswer {
        /// What is wrong with it.
        message: String,
    },
    /// The answer, or one event of it, is larger than the limit.
    #[snafu(display("answer too large"))]
    TooLarge,
    /// There is no memory for the rest of the answer.
    #[snafu(display("no memory for the answer: {refused}"))]
    NoMemory {
        /// Whose limit is reached.
        refused: BudgetExhausted,
    },
}

impl FailureKind {
    /// What an error before the end of an answer's head means.
    pub(crate) fn of_head(error: &hyper::Error) -> Self {
        match error {
            error if error.is_parse_too_large() || is_beyond_limit(error) => Self::TooLarge,
            error if error.is_parse() => Self::BadAnswer { message: error.to_string() },
            error => Self::Closed { message: error.to_string() },
        }
    }
}

impl CallFailure {
    /// A failure before any byte was sent.
    pub(crate) fn not_sent(kind: FailureKind) -> Self {
        Self { sent: SentState::NotSent, reported_not_run: false, kind }
    }

    /// A failure after bytes may have been sent.
    pub(crate) fn maybe_sent(kind: FailureKind) -> Self {
        Self { sent: SentState::MaybeSent, reported_not_run: false, kind }
    }

    /// The time for which the upstream asks not to be called.
    pub fn rest(&self) -> Option<Duration> {
        match &self.kind {
            FailureKind::Refused { rest, .. } => *rest,
            _ => None,
        }
    }

    /// Whether the upstream closed the connection under a call that may have arrived: it ended, or
    /// only the connection did.
    pub fn is_closed_by_upstream(&self) -> bool {
        matches!(self.kind, FailureKind::Closed { .. } | FailureKind::CutShort)
            && self.sent == SentState::MaybeSent
    }

    /// Whether the upstream sent bytes that are no answer: malformed, or more than an answer may
    /// have.
    pub fn is_no_answer(&self) -> bool {
        match &self.kind {
            FailureKind::TooLarge | FailureKind::BadAnswer { .. } => true,
            FailureKind::NoMemory { refused } => refused.scope == BudgetScope::Part,
            _ => false,
        }
    }

    /// What a caller may be told: `not-run` only if nothing was sent or the upstream reported it.
    pub fn outcome(&self) -> RequestOutcome {
        match self.sent {
            SentState::NotSent => RequestOutcome::NotRun,
            SentState::MaybeSent if self.reported_not_run => RequestOutcome::NotRun,
            SentState::MaybeSent => RequestOutcome::Unknown,
        }
    }
}

/// Whether the socket gave up because too many bytes came before the end of the head.
fn is_beyond_limit(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::ConnectionAborted)
}
