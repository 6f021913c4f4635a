//! Entries of the instance list that name no upstream to use.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum length of an id or a reason from outside in a log line, in characters.
const MAX_TEXT_CHARS: usize = 120;

/// Why an entry of the list isn't used.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OddKind {
    /// It isn't valid JSON, or has values that can't be represented.
    Unreadable,
    /// A field is missing, has another type or is out of range.
    Incomplete,
    /// It has brackets or strings without an end, so that entries may be hidden behind it.
    Damaged,
    /// Another entry has the same id.
    SecondOfId,
    /// Another entry has the same address.
    SecondOfAddress,
}

impl OddKind {
    /// The kind in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreadable => "unreadable",
            Self::Incomplete => "incomplete",
            Self::Damaged => "damaged",
            Self::SecondOfId => "second_of_id",
            Self::SecondOfAddress => "second_of_address",
        }
    }
}

impl fmt::Display for OddKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An entry of the list that isn't used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OddEntry {
    /// Its position in the page, from 0.
    pub position: usize,
    /// Its id, if that can be read.
    pub name: Option<Arc<str>>,
    /// Its address, if that can be read.
    pub address: Option<SocketAddr>,
    /// Why it isn't used.
    pub kind: OddKind,
    /// Details, of limited length.
    pub reason: String,
}

impl OddEntry {
    /// Creates an entry without an id and an address.
    pub fn new(position: usize, kind: OddKind, reason: &str) -> Self {
        let reason = reason.chars().take(MAX_TEXT_CHARS).collect();
        Self { position, name: None, address: None, kind, reason }
    }

    /// Its id for a log line, or its position.
    pub fn label(&self) -> String {
        match &self.name {
            Some(name) => name.chars().take(MAX_TEXT_CHARS).collect(),
            None => format!("#{}", self.position),
        }
    }
}
