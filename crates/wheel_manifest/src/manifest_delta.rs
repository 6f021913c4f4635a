//! The line-by-line difference between two manifests.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, TextDiff};

/// Lines removed and added at one position of a manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeltaHunk {
    /// Line of the old manifest, from 0, at which lines are removed or before which they are added.
    pub start: u32,
    /// Number of removed lines.
    pub removed: u32,
    /// The added lines with their line ends.
    pub added: String,
}

/// Turns one manifest into another. It works on lines, so comments and layout are preserved.
///
/// ```
/// use wheel_manifest::ManifestDelta;
///
/// let delta = ManifestDelta::between("a\nb\n", "a\nc\n");
/// assert_eq!(delta.apply_to("a\nb\n").as_deref(), Ok("a\nc\n"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestDelta {
    /// The changes, from first to last.
    pub hunks: Vec<DeltaHunk>,
}

/// Time after which the search for a shorter difference stops; the result is still correct.
const DIFF_LIMIT: Duration = Duration::from_millis(500);

/// A delta that was made from another manifest than the one it is applied to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeltaError {
    /// The line that the delta refers to and the manifest doesn't have.
    pub line: u32,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the delta refers to line {}, which the manifest doesn't have", self.line)
    }
}

impl std::error::Error for DeltaError {}

impl ManifestDelta {
    /// Finds a short delta from `old` to `new`.
    pub fn between(old: &str, new: &str) -> Self {
        let old: Vec<&str> = split_lines(old).collect();
        let new: Vec<&str> = split_lines(new).collect();
        let diff = TextDiff::configure()
            .algorithm(Algorithm::Patience)
            .timeout(DIFF_LIMIT)
            .diff_slices(&old, &new);
        let mut hunks = Vec::new();
        let (mut next_old, mut next_new) = (0, 0);
        // Only equal ranges have exact positions on both sides; the hunks are the gaps between
        // them.
        let end = DiffOp::Equal { old_index: old.len(), new_index: new.len(), len: 0 };
        let common = diff.ops().iter().chain([&end]);
        for op in common.filter(|op| matches!(op, DiffOp::Equal { .. })) {
            let (old_range, new_range) = (op.old_range(), op.new_range());
            if next_old < old_range.start || next_new < new_range.start {
                hunks.push(DeltaHunk {
                    start: next_old as u32,
                    removed: (old_range.start - next_old) as u32,
                    added: new[next_new..new_range.start].concat(),
                });
            }
            (next_old, next_new) = (old_range.end, new_range.end);
        }
        Self { hunks }
    }

    /// Applies the delta to the manifest that it was made from.
    ///
    /// # Errors
    /// [`DeltaError`] if `old` lacks a line that the delta refers to.
    pub fn apply_to(&self, old: &str) -> Result<String, DeltaError> {
        let lines: Vec<&str> = split_lines(old).collect();
        let mut manifest = String::with_capacity(old.len());
        let mut next = 0;
        for hunk in &self.hunks {
            let start = hunk.start as usize;
            let kept = lines.get(next..start).ok_or(DeltaError { line: hunk.start })?;
            kept.iter().for_each(|line| manifest.push_str(line));
            manifest.push_str(&hunk.added);
            next = start + hunk.removed as usize;
        }
        let rest = lines.get(next..).ok_or(DeltaError { line: next as u32 })?;
        rest.iter().for_each(|line| manifest.push_str(line));
        Ok(manifest)
    }
}

/// Splits after line feeds only; a carriage return before one stays part of the line.
fn split_lines(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive('\n')
}
