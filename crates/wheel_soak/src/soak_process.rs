//! One process of the system under test.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use wheel_harness::{ChildProcess, ProcessSignal};

use crate::{ObservationSink, SeenEvent, SoakError};

/// The program under test.
const PROGRAM: &str = "wisteriawheel-platform";
/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "WISTERIAWHEEL_SETTINGS";
/// Environment variable with the secret that the instances share.
const SECRET_VARIABLE: &str = "WISTERIAWHEEL_FLEET_SECRET";
/// Environment variables with the paths of the files that control the test seams of clocks and disks,
/// and the extensions of these files.
const CLOCK_VARIABLE: &str = "WISTERIAWHEEL_CLOCK_FAULTS";
const DISK_VARIABLE: &str = "WISTERIAWHEEL_DISK_FAULTS";
pub(crate) const CLOCK_SEAM: &str = "clock-faults";
pub(crate) const DISK_SEAM: &str = "disk-faults";
/// Time from an exit to the restart, unless a fault specifies another.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Interval at which the memory of a process is read, and the growth that is recorded.
const MEMORY_INTERVAL: Duration = Duration::from_millis(100);
const MEMORY_STEP_MB: u64 = 4;

/// The name and files of a process.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    /// Its name.
    pub name: Arc<str>,
    /// Its settings file.
    pub settings: PathBuf,
    /// The file for its output and log.
    pub log: PathBuf,
    /// Its data folder.
    pub data: PathBuf,
}

/// A process that is restarted whenever it has exited.
pub struct SoakProcess {
    files: ProcessFiles,
    sink: ObservationSink,
    grace: Duration,
    child: Option<ChildProcess>,
    /// When it was first sent SIGTERM.
    terminated: Option<Instant>,
    was_killed: bool,
    is_frozen: bool,
    wipes_data: bool,
    /// Most memory since its start, as recorded, in megabytes.
    memory_mb: u64,
    memory_read: Instant,
    /// Time from its exit to its next start.
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
            wipes_data: false,
            memory_mb: 0,
            memory_read: Instant::now(),
            pause: RESTART_TIME,
            start_at: None,
        };
        process.start()?;
        Ok(process)
    }

    /// Whether it is running and neither terminating nor frozen.
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
        self.memory_mb = 0;
        (self.terminated, self.was_killed, self.is_frozen) = (None, false, false);
        self.sink.record(SeenEvent::ProcessStarted { process: self.files.name.clone() });
        Ok(())
    }

    /// Sends SIGTERM. The process is killed after its grace period and restarted `pause` after its
    /// exit.
    pub fn terminate(&mut self, pause: Duration) {
        self.pause = pause;
        let Some(child) = &self.child else { return };
        if self.terminated.is_none() {
            self.terminated = Some(Instant::now());
            let (process, grace) = (self.files.name.clone(), self.grace);
            self.sink.record(SeenEvent::ProcessTerminated { process, grace });
        }
        child.signal(ProcessSignal::Terminate);
    }

    /// Kills the process; `wipes_data` removes its data folder before the next start.
    pub fn kill(&mut self, pause: Duration, wipes_data: bool) {
        (self.pause, self.wipes_data) = (pause, self.wipes_data || wipes_data);
        if let Some(child) = &self.child {
            self.was_killed = true;
            child.signal(ProcessSignal::Kill);
        }
    }

    /// Suspends the process.
    pub fn freeze(&mut self) {
        self.is_frozen = self.child.is_some();
        self.signal(ProcessSignal::Stop);
    }

    /// Resumes the suspended process.
    pub fn resume(&mut self) {
        self.is_frozen = false;
        self.signal(ProcessSignal::Continue);
    }

    /// Makes the process reload its settings.
    pub fn reload(&self) {
        self.signal(ProcessSignal::Reload);
    }

    /// Writes a line into the file of a test seam; an empty line ends the fault.
    pub(crate) fn write_seam(&self, extension: &str, line: &str) {
        // A file that can't be written only means no fault; the process logs each fault that it reads.
        let _ = std::fs::write(self.files.settings.with_extension(extension), line);
    }

    fn signal(&self, signal: ProcessSignal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Records the exit of the process, enforces its grace period and restarts it; must be called
    /// often.
    ///
    /// # Errors
    /// [`SoakError::Harness`] if the process can't be polled or started.
    pub fn poll(&mut self) -> Result<(), SoakError> {
        match (&mut self.child, self.start_at) {
            (Some(child), _) => {
                let Some(status) = child.ended()? else {
                    self.enforce_grace();
                    self.read_memory();
                    return Ok(());
                };
                let process = self.files.name.clone();
                let (code, was_killed) = (status.code(), self.was_killed);
                self.sink.record(SeenEvent::ProcessEnded { process, code, was_killed });
                self.child = None;
                self.start_at = Some(Instant::now() + self.pause);
                self.pause = RESTART_TIME;
                Ok(())
            }
            (None, Some(at)) if Instant::now() >= at => {
                if std::mem::take(&mut self.wipes_data) {
                    let _ = std::fs::remove_dir_all(&self.files.data);
                }
                self.start()?;
                self.start_at = None;
                Ok(())
            }
            (None, _) => Ok(()),
        }
    }

    /// Records growth of the process's memory.
    fn read_memory(&mut self) {
        let Some(child) = &self.child else { return };
        if self.memory_read.elapsed() < MEMORY_INTERVAL {
            return;
        }
        self.memory_read = Instant::now();
        // A process that is exiting has no memory of its own any more.
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let mb = kilobytes.and_then(|text| text.parse::<u64>().ok()).unwrap_or_default() / 1024;
        if mb >= self.memory_mb + MEMORY_STEP_MB {
            self.memory_mb = mb;
            self.sink.record(SeenEvent::MemoryUsed { process: self.files.name.clone(), mb });
        }
    }

    /// Kills the process after its grace period. This isn't recorded as a kill by the soak.
    fn enforce_grace(&self) {
        if self.terminated.is_some_and(|terminated_at| terminated_at.elapsed() > self.grace) {
            self.signal(ProcessSignal::Kill);
        }
    }
}
