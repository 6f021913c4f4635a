//! One entry of the log.

use serde::{Deserialize, Serialize};

/// An entry of the log, carried in [`LogRecord::Entry`](crate::LogRecord::Entry).
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredEntry {
    /// Its position in the log; the first entry ever has index 1.
    pub index: u64,
    /// The term in which it was proposed.
    pub term: u64,
    /// Its content.
    pub bytes: Vec<u8>,
}
