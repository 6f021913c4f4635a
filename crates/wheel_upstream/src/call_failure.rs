//! Why a call failed, and what that says about whether it ran.

use bytes::Bytes;
use http::StatusCode;
use snafu::Snafu;
use wheel_types::RequestOutcome;

/// Whether a byte of a call may have left this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SentState {
    /// Provably no byte left, and none will.
    NotSent,
    /// Some bytes were handed to the operating system.
    MaybeSent,
}

/// A call without a whole answer of its own.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("{kind} ({sent:?})"))]
pub struct CallFailure {
    /// Whether a byte of the call may have left.
    pub sent: SentState,
    /// Whether the upstream itself said, in an answer to this very call, that it didn't run it.
    pub said_not_run: bool,
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
    /// As many calls as the limit allows are open to this upstream.
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
    /// The call's total time is over.
    #[snafu(display("deadline exceeded"))]
    Deadline,
    /// The upstream answered with an error status.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The status.
        status: StatusCode,
        /// The body, cut at the limit for answers that aren't streamed.
        body: Bytes,
    },
    /// The answer carries another call's id, or none.
    #[snafu(display("answer to another request"))]
    ForeignAnswer,
    /// A token is missing from the stream.
    #[snafu(display("token {expected} is missing, got {found}"))]
    TokenGap {
        /// The index that was due.
        expected: u64,
        /// The index that came.
        found: u64,
    },
    /// The answer ended without its proper end.
    #[snafu(display("answer cut short"))]
    CutShort,
    /// The answer can't be understood.
    #[snafu(display("malformed answer: {message}"))]
    BadAnswer {
        /// What is wrong with it.
        message: String,
    },
    /// The answer, or one event of it, is larger than the limit.
    #[snafu(display("answer too large"))]
    TooLarge,
}

impl CallFailure {
    /// A failure before any byte left.
    pub(crate) fn not_sent(kind: FailureKind) -> Self {
        Self { sent: SentState::NotSent, said_not_run: false, kind }
    }

    /// A failure after bytes may have left.
    pub(crate) fn maybe_sent(kind: FailureKind) -> Self {
        Self { sent: SentState::MaybeSent, said_not_run: false, kind }
    }

    /// What a caller may be told: `not-run` only if nothing left or the upstream said so.
    pub fn outcome(&self) -> RequestOutcome {
        match self.sent {
            SentState::NotSent => RequestOutcome::NotRun,
            SentState::MaybeSent if self.said_not_run => RequestOutcome::NotRun,
            SentState::MaybeSent => RequestOutcome::Unknown,
        }
    }
}
