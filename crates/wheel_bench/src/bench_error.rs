//! Why a measurement failed.

use snafu::Snafu;
use wheel_harness::HarnessError;

/// What went wrong.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// The system couldn't be started or asked.
    #[snafu(display("{source}"), context(false))]
    Harness {
        /// The harness's error.
        source: HarnessError,
    },
    /// A file couldn't be read or written.
    #[snafu(display("{path}: {source}"))]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A figure is missing.
    #[snafu(display("{what} is missing"))]
    Missing {
        /// Which one.
        what: String,
    },
}
