//! Why a soak can't run.

use std::time::Duration;

use snafu::Snafu;
use wheel_harness::HarnessError;

use crate::CoverageFailure;

/// What went wrong in the soak itself.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A file or a socket of the soak failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was tried.
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
        /// Why.
        source: CoverageFailure,
    },
    /// The system never served before the first fault.
    #[snafu(display("{what} didn't happen within {limit:?}; logs are in {folder}"))]
    NotServing {
        /// What was waited for.
        what: String,
        /// How long.
        limit: Duration,
        /// The run folder.
        folder: String,
    },
}
