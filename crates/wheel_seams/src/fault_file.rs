//! A file by which a test injects faults into a running process.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

use spdlog::{error, info};

use crate::{FaultLine, FaultLineError};

/// Shortest time between two reads of a file.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// The faults that a line of a [`FaultFile`] can set; the default is no fault.
pub trait FaultMode: Default {
    /// Parses the mode, removing its pairs from `line`.
    ///
    /// # Errors
    /// [`FaultLineError`] if a key is missing or a value is invalid.
    fn from_line(line: &mut FaultLine) -> Result<Self, FaultLineError>;
}

/// The fault mode in a file, which is read again at most every 20 ms. A missing or unreadable file
/// means no fault; the latter is an error in the log.
#[derive(Debug)]
pub struct FaultFile<M: FaultMode> {
    path: PathBuf,
    read_at: Option<Instant>,
    content: Option<(SystemTime, String)>,
    mode: M,
    changed_at: Instant,
    /// Whether it was logged that the file can't be read.
    error_logged: bool,
}

impl<M: FaultMode> FaultFile<M> {
    /// Follows the file at `path`, which may be missing.
    pub fn open(path: PathBuf) -> Self {
        let changed_at = Instant::now();
        Self {
            path,
            read_at: None,
            content: None,
            mode: M::default(),
            changed_at,
            error_logged: false,
        }
    }

    /// The current mode.
    pub fn refresh(&mut self) -> &M {
        if self.read_at.is_none_or(|read_at| read_at.elapsed() >= READ_INTERVAL) {
            self.read();
            self.read_at = Some(Instant::now());
        }
        &self.mode
    }

    /// When this process first saw the current content of the file.
    pub fn changed_at(&self) -> Instant {
        self.changed_at
    }

    fn read(&mut self) {
        let content = match self.read_content() {
            Ok(content) => Some(content),
            Err(error) if error.kind() == ErrorKind::NotFound || self.error_logged => None,
            Err(error) => {
                self.log_unreadable(&error.to_string());
                self.error_logged = true;
                None
            }
        };
        if content == self.content {
            return;
        }
        let text = content.as_ref().map(|(_, text)| text.as_str()).unwrap_or_default();
        self.mode = match read_mode(text) {
            Ok(mode) => {
                info!("fault_changed", kv: {
                    file = self.path.display().to_string(), line = text.trim().to_owned()
                });
                mode
            }
            Err(error) => {
                self.log_unreadable(&error.to_string());
                M::default()
            }
        };
        self.error_logged &= content.is_none();
        self.content = content;
        self.changed_at = Instant::now();
    }

    fn log_unreadable(&self, reason: &str) {
        error!("fault_file_unreadable", kv: {
            file = self.path.display().to_string(), reason
        });
    }

    fn read_content(&self) -> std::io::Result<(SystemTime, String)> {
        let written = std::fs::metadata(&self.path)?.modified()?;
        Ok((written, std::fs::read_to_string(&self.path)?))
    }
}

fn read_mode<M: FaultMode>(text: &str) -> Result<M, FaultLineError> {
    let mut line: FaultLine = text.parse()?;
    let mode = M::from_line(&mut line)?;
    line.check_empty()?;
    Ok(mode)
}
