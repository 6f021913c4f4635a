//! Errors of measurements.

use snafu::Snafu;
use wheel_harness::HarnessError;

/// The error of a measurement.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    /// The measured system couldn't be started or didn't answer.
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
    /// A required value is missing.
    #[snafu(display("{what} is missing"))]
    Missing {
        /// The missing value.
        what: String,
    },
}
