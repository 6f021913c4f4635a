//! Collects the faults that the checks find.

use std::ops::Range;

use crate::ManifestFault;
use crate::near_name::near_name;

/// Largest number of faults that are listed; one more then states that others were left out.
pub const MAX_FAULTS: usize = 1_000;

/// Largest number of unknown names in a manifest for which similar known names are searched.
const MAX_SUGGESTIONS: usize = 32;

/// Collects faults by byte offset and returns them with line and column.
pub(crate) struct FaultList<'a> {
    source: &'a str,
    line_starts: Vec<usize>,
    faults: Vec<OffsetFault>,
    truncated: bool,
    suggestions: usize,
}

/// A fault located by byte offset, before its line and column are computed.
struct OffsetFault {
    offset: usize,
    problem: String,
    remedy: String,
}

impl<'a> FaultList<'a> {
    pub(crate) fn new(source: &'a str) -> Self {
        let newlines = source.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(newlines).collect();
        Self { source, line_starts, faults: Vec::new(), truncated: false, suggestions: 0 }
    }

    /// Adds a fault at the start of `span`.
    pub(crate) fn add(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        if self.faults.len() == MAX_FAULTS {
            self.truncated = true;
            return;
        }
        let (problem, remedy) = (problem.into(), remedy.into());
        self.faults.push(OffsetFault { offset: span.start, problem, remedy });
    }

    /// The remedy for an unknown name: the most similar known name, or else `otherwise`.
    pub(crate) fn suggest<'n>(
        &mut self,
        name: &str,
        known: impl IntoIterator<Item = &'n str>,
        otherwise: impl Into<String>,
    ) -> String {
        self.suggestions += 1;
        let near = match self.suggestions {
            0..=MAX_SUGGESTIONS => near_name(name, known),
            _ => None,
        };
        near.map_or_else(|| otherwise.into(), |near| format!("write `{near}` if that is meant"))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The faults in the order of the manifest.
    pub(crate) fn finish(mut self) -> Vec<ManifestFault> {
        self.faults.sort_by_key(|fault| fault.offset);
        let mut faults: Vec<_> = self.faults.iter().map(|fault| self.locate(fault)).collect();
        if self.truncated {
            let line = self.line_starts.len();
            let problem = format!("more than {MAX_FAULTS} faults");
            let remedy = "mend the listed ones and check again".to_owned();
            faults.push(ManifestFault { line, column: 1, problem, remedy });
        }
        faults
    }

    fn locate(&self, fault: &OffsetFault) -> ManifestFault {
        let line = self.line_starts.partition_point(|start| *start <= fault.offset);
        let start = self.line_starts[line - 1];
        let before = self.source.get(start..fault.offset).unwrap_or_default();
        ManifestFault {
            line,
            column: before.chars().count() + 1,
            problem: fault.problem.clone(),
            remedy: fault.remedy.clone(),
        }
    }
}
