//! Errors of running a soak.

use std::time::Duration;

use snafu::Snafu;
use wheel_harness::HarnessError;

use crate::CoverageFailure;

/// An error of the soak itself rather than of the system under test.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// An operation on a file or a socket of the soak failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// The operation.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A process or a link couldn't be started.
    #[snafu(display("{source}"), context(false))]
    Harness {
        /// The harness's error.
        source: HarnessError,
    },
    /// A process's log can't be read.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: CoverageFailure,
    },
    /// The system didn't become ready before the first fault.
    #[snafu(display("{what} didn't happen within {limit:?}; logs are in {folder}"))]
    NotServing {
        /// The awaited event.
        what: String,
        /// How long it was awaited.
        limit: Duration,
        /// The run folder.
        folder: String,
    },
}
