//! Finds the project's own programs.

use std::path::PathBuf;

use snafu::ResultExt;

use crate::HarnessError;
use crate::harness_error::IoSnafu;

/// The path of a program that the workspace builds.
#[derive(Clone, Debug)]
pub struct ProgramPath;

impl ProgramPath {
    /// The program `name`, beside the running one. Test programs lie one directory deeper.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if it isn't there: build the whole workspace first.
    pub fn find(name: &str) -> Result<PathBuf, HarnessError> {
        let own = std::env::current_exe().context(IoSnafu { what: "find the own program" })?;
        let candidates = own.ancestors().skip(1).take(2).map(|folder| folder.join(name));
        let found = candidates.into_iter().find(|path| path.is_file());
        found.ok_or_else(|| HarnessError::Io {
            what: format!("program {name} isn't built; run cargo build --workspace"),
            source: std::io::ErrorKind::NotFound.into(),
        })
    }
}
