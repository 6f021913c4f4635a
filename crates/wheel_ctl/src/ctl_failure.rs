//! Why a command failed.

use snafu::Snafu;

use crate::ExitStatus;

/// The error of a command.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum CtlFailure {
    /// Wrong flags or arguments.
    #[snafu(display("{reason}; see wisteriactl --help"))]
    Usage {
        /// What is wrong.
        reason: String,
    },
    /// A file can't be read or written, or the process can't start its runtime.
    #[snafu(display("{reason}"))]
    Local {
        /// The system's error.
        reason: String,
    },
    /// The manifest has faults, which were printed.
    #[snafu(display("{count} faults in the text"))]
    Faults {
        /// How many.
        count: usize,
    },
    /// No instance answered, and the command wasn't executed.
    #[snafu(display("not reached: {reason}"))]
    Unreachable {
        /// What went wrong at the last attempt.
        reason: String,
    },
    /// The command was sent, and it is unknown whether it was executed.
    #[snafu(display("unknown outcome: {reason}"))]
    UnknownOutcome {
        /// What went wrong, and how to find out the outcome.
        reason: String,
    },
    /// The manifest was accepted, but wasn't active everywhere within the wait limit.
    #[snafu(display("revision {revision} is accepted, but not yet in force at {lagging}"))]
    Lagging {
        /// The accepted revision.
        revision: u64,
        /// The instances where it isn't active.
        lagging: String,
    },
    /// The server refused the command.
    #[snafu(display("refused with status {status}: {reason}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The server's error message.
        reason: String,
    },
    /// The manifest was edited from a revision that is no longer the newest.
    #[snafu(display(
        "conflict: revision {revision} is in force; merge with it and apply with --base {revision}"
    ))]
    Conflict {
        /// The newest revision.
        revision: u64,
    },
}

impl CtlFailure {
    /// The exit status for this failure.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage { .. } | Self::Local { .. } => ExitStatus::Usage,
            Self::Faults { .. } => ExitStatus::Faults,
            Self::Unreachable { .. } | Self::UnknownOutcome { .. } | Self::Lagging { .. } => {
                ExitStatus::Unknown
            }
            Self::Refused { .. } => ExitStatus::Refused,
            Self::Conflict { .. } => ExitStatus::Conflict,
        }
    }
}
