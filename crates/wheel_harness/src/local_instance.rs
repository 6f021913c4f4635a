//! One daemon of a local system.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use wheel_types::{CentreName, InstanceName};

use crate::{ChildProcess, FreePorts, HarnessError, ProcessSignal};

/// Number of lines of a log that are shown with an error.
const LOG_TAIL_LINES: usize = 20;

/// The addresses that one daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct InstancePorts {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For calls of other instances.
    pub peer: SocketAddr,
    /// For requests that ingress instances relay.
    pub relay: SocketAddr,
}

impl InstancePorts {
    /// Allocates four free ports.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if no port is free.
    pub fn take(ports: &mut FreePorts) -> Result<Self, HarnessError> {
        Ok(Self {
            callers: ports.take()?,
            operators: ports.take()?,
            peer: ports.take()?,
            relay: ports.take()?,
        })
    }
}

/// A daemon, running or not, with everything that is needed to restart it.
#[derive(Debug)]
pub struct LocalInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its ports, which it keeps across restarts.
    pub ports: InstancePorts,
    /// Its data folder, if it is a control instance.
    pub folder: Option<PathBuf>,
    pub(crate) arguments: Vec<String>,
    pub(crate) log: PathBuf,
    pub(crate) process: Option<ChildProcess>,
}

impl LocalInstance {
    /// Starts or restarts the daemon.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if it can't be started.
    pub fn start(&mut self) -> Result<(), HarnessError> {
        let name = self.name.as_str();
        self.process =
            Some(ChildProcess::spawn("wisteriawheeld", name, &self.arguments, &self.log)?);
        Ok(())
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Sends a signal to the daemon, if it is running.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }

    /// Its process, if it is running.
    pub fn process(&mut self) -> Option<&mut ChildProcess> {
        self.process.as_mut()
    }

    /// The last lines of its log, for error messages.
    pub fn last_log_lines(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let skipped = log.lines().count().saturating_sub(LOG_TAIL_LINES);
        log.lines().skip(skipped).collect::<Vec<_>>().join("\n")
    }

    /// The path of its log file.
    pub fn log(&self) -> &Path {
        &self.log
    }
}
