//! A file by which a test changes a process from outside.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

use spdlog::{error, info};

use crate::{FaultLine, LineError};

/// Time between two looks at a file.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// What a line of a [`FaultFile`] may say; the default is no fault.
pub trait FaultMode: Default {
    /// Takes the mode's pairs out of `line`.
    fn from_line(line: &mut FaultLine) -> Result<Self, LineError>;
}

/// The mode in a file, looked at again at most each 20 ms. No file, or one that can't be read, is no fault; the
/// latter is an error in the log.
#[derive(Debug)]
pub struct FaultFile<M: FaultMode> {
    path: PathBuf,
    looked: Option<Instant>,
    content: Option<(SystemTime, String)>,
    mode: M,
    since: Instant,
    /// Whether the log was told that the file can't be read.
    is_told: bool,
}

impl<M: FaultMode> FaultFile<M> {
    /// Follows the file at `path`, which needn't be there.
    pub fn open(path: PathBuf) -> Self {
        let since = Instant::now();
        Self { path, looked: None, content: None, mode: M::default(), since, is_told: false }
    }

    /// The mode.
    pub fn look(&mut self) -> &M {
        if self.looked.is_none_or(|looked| looked.elapsed() >= LOOK_INTERVAL) {
            self.read();
            self.looked = Some(Instant::now());
        }
        &self.mode
    }

    /// When this process first saw the file as it is now.
    pub fn since(&self) -> Instant {
        self.since
    }

    fn read(&mut self) {
        let content = match self.read_content() {
            Ok(content) => Some(content),
            Err(fault) if fault.kind() == ErrorKind::NotFound || self.is_told => None,
            Err(fault) => {
                self.tell_unreadable(&fault.to_string());
                self.is_told = true;
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
            Err(fault) => {
                self.tell_unreadable(&fault.to_string());
                M::default()
            }
        };
        self.is_told &= content.is_none();
        self.content = content;
        self.since = Instant::now();
    }

    fn tell_unreadable(&self, reason: &str) {
        error!("fault_file_unreadable", kv: {
            file = self.path.display().to_string(), reason
        });
    }

    fn read_content(&self) -> std::io::Result<(SystemTime, String)> {
        let written = std::fs::metadata(&self.path)?.modified()?;
        Ok((written, std::fs::read_to_string(&self.path)?))
    }
}

fn read_mode<M: FaultMode>(text: &str) -> Result<M, LineError> {
    let mut line: FaultLine = text.parse()?;
    let mode = M::from_line(&mut line)?;
    line.finish()?;
    Ok(mode)
}
