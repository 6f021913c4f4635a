//! A fault in the operators' manifest.

use std::fmt;

/// The position of a fault in a manifest, the problem and its remedy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ManifestFault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl ManifestFault {
    /// Creates a fault at byte `offset` of `source`.
    pub fn at(source: &str, offset: usize, problem: &str, remedy: &str) -> Self {
        let before = source.get(..offset).unwrap_or(source);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for ManifestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.line, self.column, self.problem, self.remedy)
    }
}
