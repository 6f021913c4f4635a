//! Why a local system couldn't be started or asked.

use std::time::Duration;

use snafu::Snafu;

/// What went wrong.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// A file, a socket or a process failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// An HTTP call has no answer.
    #[snafu(display("{what}: {reason}"))]
    Http {
        /// What was called.
        what: String,
        /// What was seen.
        reason: String,
    },
    /// Something didn't happen in time.
    #[snafu(display("{what} didn't happen within {limit:?}"))]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long.
        limit: Duration,
    },
    /// The text can't be used.
    #[snafu(display("the text has faults: {faults}"))]
    Text {
        /// The faults.
        faults: String,
    },
}
