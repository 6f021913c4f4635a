//! Errors of starting and calling a local system.

use std::time::Duration;

use snafu::Snafu;

/// An error of the harness.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HarnessError {
    /// An operation on a file, a socket or a process failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// The operation.
        what: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// All ports that tests may use are taken.
    #[snafu(display("no port is free"))]
    NoPort,
    /// An HTTP request failed.
    #[snafu(display("{what}: {reason}"))]
    Http {
        /// The request.
        what: String,
        /// Why it failed.
        reason: String,
    },
    /// An awaited event didn't happen in time.
    #[snafu(display("{what} didn't happen within {limit:?}"))]
    Timeout {
        /// The awaited event.
        what: String,
        /// How long it was awaited.
        limit: Duration,
    },
    /// An instance didn't answer in time after its start.
    #[snafu(display("{name} didn't start within {limit:?}; the end of its log:\n{log}"))]
    NotStarted {
        /// The instance.
        name: String,
        /// How long it was awaited.
        limit: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// The manifest is invalid.
    #[snafu(display("the manifest is invalid: {faults}"))]
    Manifest {
        /// The faults, one per line.
        faults: String,
    },
}
