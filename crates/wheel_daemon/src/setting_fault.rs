//! A fault in the settings.

use std::fmt;

/// A setting and the problem with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingFault {
    /// The flag, without its dashes.
    pub flag: String,
    /// What is wrong.
    pub problem: String,
}

impl SettingFault {
    /// Creates a fault.
    pub fn new(flag: &str, problem: impl Into<String>) -> Self {
        Self { flag: flag.to_owned(), problem: problem.into() }
    }
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.flag, self.problem)
    }
}
