//! The exit codes of the tool.

use std::process::ExitCode;

/// What the tool's exit code says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// 0: done.
    Done,
    /// 1: refused by the server; nothing was changed.
    Refused,
    /// 2: wrong flags or arguments, or an unreadable file.
    Usage,
    /// 3: no instance could be reached, or it isn't known what became of the command.
    Unknown,
    /// 4: the text has faults.
    Faults,
    /// 5: another operator was first; the text must be edited from the newer revision.
    Conflict,
}

impl ExitStatus {
    /// The exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status.code())
    }
}
