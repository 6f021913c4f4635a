//! Reads and writes traces.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::{TraceEvent, TraceHeader};

/// A trace: a header and events in order of time, with one JSON object per line.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceFile {
    /// The header.
    pub header: TraceHeader,
    /// Recorded events, in order of time.
    pub events: Vec<TraceEvent>,
}

/// Why a trace can't be read.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A line isn't valid.
    #[snafu(display("{}:{line}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The JSON error.
        source: serde_json::Error,
    },
    /// The events aren't in order of time.
    #[snafu(display("{}:{line}: the event is earlier than the one before", path.display()))]
    Disordered {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
    },
    /// The file is empty.
    #[snafu(display("{}: there is no header", path.display()))]
    Empty {
        /// The file.
        path: PathBuf,
    },
}

impl TraceFile {
    /// Reads a trace.
    ///
    /// # Errors
    /// [`TraceError`] for the first line that is wrong.
    pub fn open(path: &Path) -> Result<Self, TraceError> {
        let content = fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let mut lines = content.lines().enumerate();
        let (_, first) = lines.next().ok_or(TraceError::Empty { path: path.to_owned() })?;
        let header = serde_json::from_str(first).context(MalformedSnafu { path, line: 1_usize })?;
        let mut events: Vec<TraceEvent> = Vec::new();
        for (index, text) in lines.filter(|(_, text)| !text.is_empty()) {
            let line = index + 1;
            let event: TraceEvent =
                serde_json::from_str(text).context(MalformedSnafu { path, line })?;
            if events.last().is_some_and(|last| last.at_ms() > event.at_ms()) {
                return Err(TraceError::Disordered { path: path.to_owned(), line });
            }
            events.push(event);
        }
        Ok(Self { header, events })
    }

    /// Serializes the trace.
    ///
    /// # Errors
    /// A JSON error; these types don't cause any.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut text = serde_json::to_string(&self.header)?;
        for event in &self.events {
            text.push('\n');
            text.push_str(&serde_json::to_string(event)?);
        }
        text.push('\n');
        Ok(text)
    }
}
