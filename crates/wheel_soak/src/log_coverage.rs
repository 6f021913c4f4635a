//! Checks that logs explain why requests failed.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use wheel_ctl::RequestTimeline;

use crate::{FailedCall, GuaranteeViolation, SystemGuarantee};

/// An error of reading a log.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("can't read {}: {source}", path.display()))]
pub struct CoverageFailure {
    path: PathBuf,
    source: std::io::Error,
}

/// The log lines of failed requests.
#[derive(Debug, Default)]
pub struct LogCoverage {
    lines: BTreeMap<Arc<str>, Vec<String>>,
}

impl LogCoverage {
    /// Collects the lines on `calls` from the log files of any processes.
    ///
    /// # Errors
    /// [`CoverageFailure`] if a file can't be opened or read.
    pub fn read(calls: &[FailedCall], logs: &[impl AsRef<Path>]) -> Result<Self, CoverageFailure> {
        let mut lines: BTreeMap<Arc<str>, Vec<String>> =
            calls.iter().map(|call| (call.id.clone(), Vec::new())).collect();
        for path in logs.iter().map(AsRef::as_ref) {
            let file = File::open(path).context(CoverageFailureSnafu { path })?;
            for line in BufReader::new(file).split(b'\n') {
                // A killed process may leave a line that ends within a UTF-8 character.
                let line = line.context(CoverageFailureSnafu { path })?;
                let line = String::from_utf8_lossy(&line).into_owned();
                let id = line.split_whitespace().find_map(|pair| pair.strip_prefix("id="));
                if let Some(known) = id.and_then(|id| lines.get_mut(id.trim_matches('"'))) {
                    known.push(line);
                }
            }
        }
        Ok(Self { lines })
    }

    /// The calls whose cause of failure no line states, as judged by `wisteriactl explain request`.
    pub fn unexplained(&self, calls: &[FailedCall]) -> Vec<GuaranteeViolation> {
        let is_explained = |call: &FailedCall| {
            let lines = self.lines.get(&call.id).into_iter().flatten().map(String::as_str);
            let verdict = RequestTimeline::read(&call.id, lines).outcome();
            verdict.is_some_and(|verdict| !verdict.contains("reason=- "))
        };
        let violation = |call: &FailedCall| {
            let line = "failed, and no log line states the cause";
            GuaranteeViolation::new(SystemGuarantee::FailureExplained, call.at, &[&call.id], line)
        };
        calls.iter().filter(|call| !is_explained(call)).map(violation).collect()
    }
}
