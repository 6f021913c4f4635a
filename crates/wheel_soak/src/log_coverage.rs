//! Whether logs tell why requests failed.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use snafu::{ResultExt, Snafu};
use wheel_ctl::RequestTimeline;

use crate::{FailedCall, PromiseViolation, SoakPromise};

/// A log that can't be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("can't read {}: {source}", path.display()))]
pub struct CoverageFailure {
    path: PathBuf,
    source: std::io::Error,
}

/// The lines of failed requests.
#[derive(Debug, Default)]
pub struct LogCoverage {
    lines: BTreeMap<Arc<str>, Vec<String>>,
}

impl LogCoverage {
    /// Reads from logs of any processes, line by line, what they tell of `calls`.
    ///
    /// # Errors
    /// A file that can't be opened or read.
    pub fn read(calls: &[FailedCall], logs: &[impl AsRef<Path>]) -> Result<Self, CoverageFailure> {
        let mut lines: BTreeMap<Arc<str>, Vec<String>> =
            calls.iter().map(|call| (call.id.clone(), Vec::new())).collect();
        for path in logs.iter().map(AsRef::as_ref) {
            let file = File::open(path).context(CoverageFailureSnafu { path })?;
            for line in BufReader::new(file).split(b'\n') {
                // A process that was killed may leave a line in the middle of a letter.
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

    /// The calls that no line gives a cause for, by what `wisteriactl explain request` goes by.
    pub fn unexplained(&self, calls: &[FailedCall]) -> Vec<PromiseViolation> {
        let is_explained = |call: &FailedCall| {
            let lines = self.lines.get(&call.id).into_iter().flatten().map(String::as_str);
            let verdict = RequestTimeline::read(&call.id, lines).outcome();
            verdict.is_some_and(|verdict| !verdict.contains("reason=- "))
        };
        let violation = |call: &FailedCall| {
            let line = "failed, and no line tells why";
            PromiseViolation::new(SoakPromise::FailureExplained, call.at, &[&call.id], line)
        };
        calls.iter().filter(|call| !is_explained(call)).map(violation).collect()
    }
}
