//! Checks that control instances take part in their group.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;

use crate::log_coverage::CoverageFailureSnafu;
use crate::{CoverageFailure, GuaranteeViolation, SystemGuarantee};

/// Time without a leader after which a running control instance counts as outside its group: it covers
/// the longest time without a majority in any plan, and the recovery from it.
const OUTSIDE_AFTER: Duration = Duration::from_secs(10);
/// Beginning of the field of `leader_missing` that tells for how long there was no leader.
const FOR_FIELD: &str = "for_ms=";

/// Finds the log lines of the control instance `name` which state that it stood outside its group.
///
/// # Errors
/// [`CoverageFailure`] if the file can't be opened or read.
pub fn check_membership(
    name: &Arc<str>,
    log: &Path,
) -> Result<Vec<GuaranteeViolation>, CoverageFailure> {
    let file = File::open(log).context(CoverageFailureSnafu { path: log })?;
    let mut violations = Vec::new();
    for line in BufReader::new(file).split(b'\n') {
        // A killed process may leave a line that ends within a UTF-8 character.
        let line = line.context(CoverageFailureSnafu { path: log })?;
        let line = String::from_utf8_lossy(&line).into_owned();
        if !line.contains("event=leader_missing ") {
            continue;
        }
        let field = line.split_whitespace().find_map(|pair| pair.strip_prefix(FOR_FIELD));
        let missing = field.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        if let Some(missing) = missing.filter(|missing| *missing >= OUTSIDE_AFTER) {
            let guarantee = SystemGuarantee::MemberAgain;
            violations.push(GuaranteeViolation::new(guarantee, missing, &[name], line));
        }
    }
    Ok(violations)
}
