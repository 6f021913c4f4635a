//! One process of the system under test.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wheel_harness::{ChildProcess, ProcessSignal};

use crate::{ObservationSink, SeenEvent, SoakError};

/// The program under test.
const PROGRAM: &str = "wisteriawheel-platform";
/// Names the settings file.
const SETTINGS_VARIABLE: &str = "WISTERIAWHEEL_SETTINGS";
/// Holds the secret between instances.
const SECRET_VARIABLE: &str = "WISTERIAWHEEL_FLEET_SECRET";
/// Name the files by which the seams of tests harm clocks and disk, and those files' extensions.
const CLOCK_VARIABLE: &str = "WISTERIAWHEEL_CLOCK_FAULTS";
const DISK_VARIABLE: &str = "WISTERIAWHEEL_DISK_FAULTS";
pub(crate) const CLOCK_SEAM: &str = "clock-faults";
pub(crate) const DISK_SEAM: &str = "disk-faults";
/// The time from an end to the next start, unless a fault asks for another one.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// What a process is and where its files are.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    /// Its name.
    pub name: Arc<str>,
    /// Its settings file.
    pub settings: PathBuf,
    /// Where all that it writes goes.
    pub log: PathBuf,
    /// What it keeps.
    pub data: PathBuf,
}

/// A process that is started again whenever it has ended.
pub struct SoakProcess {
    files: ProcessFiles,
    sink: ObservationSink,
    grace: Duration,
    child: Option<ChildProcess>,
    /// Since when it is told to end.
    terminated: Option<Instant>,
    was_killed: bool,
    is_frozen: bool,
    loses_data: bool,
    /// From its end to its next start.
    pause: Duration,
    start_at: Option<Instant>,
}

impl SoakProcess {
    /// Starts it.
    ///
    /// # Errors
    /// [`SoakError::Harness`] if it can't be started.
    pub fn spawn(
        files: ProcessFiles,
        grace: Duration,
        sink: ObservationSink,
    ) -> Result<Self, SoakError> {
        let mut process = Self {
            files,
            sink,
            grace,
            child: None,
            terminated: None,
            was_killed: false,
            is_frozen: false,
            loses_data: false,
            pause: RESTART_TIME,
            start_at: None,
        };
        process.start()?;
        Ok(process)
    }

    /// Whether it runs, isn't told to end and isn't frozen.
    pub fn is_up(&self) -> bool {
        self.child.is_some() && self.terminated.is_none() && !self.is_frozen
    }

    fn start(&mut self) -> Result<(), SoakError> {
        let settings = self.files.settings.to_string_lossy();
        let seams = [CLOCK_SEAM, DISK_SEAM].map(|seam| self.files.settings.with_extension(seam));
        let [clock, disk] = seams.each_ref().map(|path| path.to_string_lossy());
        let variables = [
            (SETTINGS_VARIABLE, &*settings),
            (SECRET_VARIABLE, "soak"),
            (CLOCK_VARIABLE, &*clock),
            (DISK_VARIABLE, &*disk),
        ];
        let child =
            ChildProcess::spawn_logged(PROGRAM, &self.files.name, &variables, &self.files.log)?;
        self.child = Some(child);
        (self.terminated, self.was_killed, self.is_frozen) = (None, false, false);
        self.sink.note(SeenEvent::ProcessStarted { process: self.files.name.clone() });
        Ok(())
    }

    /// Tells it to end; it is killed after its grace and started again `pause` after its end.
    pub fn terminate(&mut self, pause: Duration) {
        self.pause = pause;
        let Some(child) = &self.child else { return };
        if self.terminated.is_none() {
            self.terminated = Some(Instant::now());
            let (process, grace) = (self.files.name.clone(), self.grace);
            self.sink.note(SeenEvent::ProcessTerminated { process, grace });
        }
        child.signal(ProcessSignal::Terminate);
    }

    /// Ends it at once; `loses_data` empties its folder before its next start.
    pub fn kill(&mut self, pause: Duration, loses_data: bool) {
        (self.pause, self.loses_data) = (pause, self.loses_data || loses_data);
        if let Some(child) = &self.child {
            self.was_killed = true;
            child.signal(ProcessSignal::Kill);
        }
    }

    /// Stops its execution.
    pub fn freeze(&mut self) {
        self.is_frozen = self.child.is_some();
        self.signal(ProcessSignal::Stop);
    }

    /// Lets it go on.
    pub fn thaw(&mut self) {
        self.is_frozen = false;
        self.signal(ProcessSignal::Continue);
    }

    /// Has it read its settings again.
    pub fn reload(&self) {
        self.signal(ProcessSignal::Reload);
    }

    /// Writes a line into a seam's file; an empty one ends the fault.
    pub(crate) fn write_seam(&self, extension: &str, line: &str) {
        // A file that can't be written is no fault; the process logs each one that it finds.
        let _ = std::fs::write(self.files.settings.with_extension(extension), line);
    }

    fn signal(&self, signal: ProcessSignal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Notes its end, enforces its grace and starts it again; to be called often.
    ///
    /// # Errors
    /// [`SoakError::Harness`] if it can't be started or looked at.
    pub fn look(&mut self) -> Result<(), SoakError> {
        match (&mut self.child, self.start_at) {
            (Some(child), _) => {
                let Some(status) = child.ended()? else {
                    self.enforce_grace();
                    return Ok(());
                };
                let process = self.files.name.clone();
                let (code, was_killed) = (status.code(), self.was_killed);
                self.sink.note(SeenEvent::ProcessEnded { process, code, was_killed });
                self.child = None;
                self.start_at = Some(Instant::now() + self.pause);
                self.pause = RESTART_TIME;
                Ok(())
            }
            (None, Some(at)) if Instant::now() >= at => {
                if std::mem::take(&mut self.loses_data) {
                    let _ = std::fs::remove_dir_all(&self.files.data);
                }
                self.start()?;
                self.start_at = None;
                Ok(())
            }
            (None, _) => Ok(()),
        }
    }

    /// An end after the grace isn't noted as the soak's doing.
    fn enforce_grace(&self) {
        if self.terminated.is_some_and(|since| since.elapsed() > self.grace) {
            self.signal(ProcessSignal::Kill);
        }
    }
}
