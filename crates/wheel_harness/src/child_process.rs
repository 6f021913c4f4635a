//! A child process of the harness.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use rustix::io::retry_on_intr;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use snafu::ResultExt;

use crate::harness_error::IoSnafu;
use crate::{HarnessError, ProgramPath};

/// Interval at which a process is polled for its exit.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// Signals that tests send to processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// SIGTERM: requests a graceful shutdown.
    Terminate,
    /// SIGKILL: ends the process immediately.
    Kill,
    /// SIGSTOP: suspends the process.
    Stop,
    /// SIGCONT: resumes a suspended process.
    Continue,
    /// SIGHUP: makes the process reload its settings.
    Reload,
}

/// A running child process, killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Starts `program` with `arguments` and appends its standard error to `log`.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if it can't be started.
    pub fn spawn(
        program: &str,
        name: &str,
        arguments: &[String],
        log: &Path,
    ) -> Result<Self, HarnessError> {
        let mut command = Command::new(ProgramPath::find(program)?);
        command.args(arguments).stdout(Stdio::piped());
        Self::start(command, name, log)
    }

    /// Starts `program` with these environment variables and appends its output and standard error
    /// to `log`.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if it can't be started.
    pub fn spawn_logged(
        program: &str,
        name: &str,
        variables: &[(&str, &str)],
        log: &Path,
    ) -> Result<Self, HarnessError> {
        let mut command = Command::new(ProgramPath::find(program)?);
        command.envs(variables.iter().copied()).stdout(open_log(log, name)?);
        Self::start(command, name, log)
    }

    fn start(mut command: Command, name: &str, log: &Path) -> Result<Self, HarnessError> {
        let child = command.stdin(Stdio::null()).stderr(open_log(log, name)?).spawn();
        let child = child.context(IoSnafu { what: format!("start {name}") })?;
        Ok(Self { name: name.to_owned(), child })
    }

    /// The process's name within the harness.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the line `listening ADDR` from its standard output.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if the process prints something else or exits.
    pub fn read_listening(&mut self) -> Result<SocketAddr, HarnessError> {
        let what = format!("read the address of {}", self.name);
        let broken = || HarnessError::Io {
            what: what.clone(),
            source: std::io::ErrorKind::UnexpectedEof.into(),
        };
        let output = self.child.stdout.take().ok_or_else(broken)?;
        let mut line = String::new();
        let read = BufReader::new(output).read_line(&mut line);
        read.context(IoSnafu { what: what.clone() })?;
        let address = line.trim().strip_prefix("listening ").and_then(|text| text.parse().ok());
        address.ok_or_else(broken)
    }

    /// Sends a signal. If the process has already exited, nothing happens. After
    /// [`ProcessSignal::Stop`] nothing of it runs: its threads run on until one of them has handled
    /// the signal, which takes long on a busy machine.
    pub fn signal(&self, signal: ProcessSignal) {
        let signal = match signal {
            ProcessSignal::Terminate => Signal::TERM,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Reload => Signal::HUP,
        };
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let sent = kill_process(pid, signal);
            if signal == Signal::STOP && sent.is_ok() {
                wait_stopped(pid);
            }
        }
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    /// [`HarnessError::Timeout`] if it is still running after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let deadline = Instant::now() + limit;
        loop {
            match self.ended()? {
                Some(status) => return Ok(status),
                None if Instant::now() >= deadline => {
                    return Err(HarnessError::Timeout {
                        what: format!("exit of {}", self.name),
                        limit,
                    });
                }
                None => std::thread::sleep(EXIT_POLL),
            }
        }
    }

    /// The exit status, or `None` while the process is running.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if the status can't be read.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        self.child.try_wait().context(IoSnafu { what: format!("wait for {}", self.name) })
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn open_log(log: &Path, name: &str) -> Result<File, HarnessError> {
    let file = File::options().create(true).append(true).open(log);
    file.context(IoSnafu { what: format!("open the log of {name}") })
}

/// Waits until all threads of a child are stopped, or it has exited; its exit is still reported later.
fn wait_stopped(pid: Pid) {
    let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
    // Fails only once the child's exit has been read.
    let _ = retry_on_intr(|| waitid(WaitId::Pid(pid), options));
}
