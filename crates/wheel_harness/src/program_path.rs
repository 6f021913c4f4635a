//! Finds the executables of the workspace.

use std::path::PathBuf;

use snafu::ResultExt;

use crate::HarnessError;
use crate::harness_error::IoSnafu;

/// Finds the path of an executable that the workspace builds.
#[derive(Clone, Debug)]
pub struct ProgramPath;

impl ProgramPath {
    /// Returns the path of the executable `name`, next to the running one or, since test
    /// executables lie one directory deeper, in the parent directory.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if it doesn't exist: build the whole workspace first.
    pub fn find(name: &str) -> Result<PathBuf, HarnessError> {
        let own =
            std::env::current_exe().context(IoSnafu { what: "find the running executable" })?;
        let candidates = own.ancestors().skip(1).take(2).map(|folder| folder.join(name));
        let found = candidates.into_iter().find(|path| path.is_file());
        found.ok_or_else(|| HarnessError::Io {
            what: format!("program {name} isn't built; run cargo build --workspace"),
            source: std::io::ErrorKind::NotFound.into(),
        })
    }
}
