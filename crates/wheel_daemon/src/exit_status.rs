//! Exit codes of the daemon.

use std::process::ExitCode;

/// How the daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// It drained, or checked its settings and found no fault.
    Done,
    /// It couldn't start, or a part of it failed.
    Failed,
    /// Its settings have faults.
    BadSettings,
    /// It ended with open requests because of a second signal or the drain limit.
    CutShort,
}

impl ExitStatus {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::BadSettings => 2,
            Self::CutShort => 3,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
