//! One daemon of a local system.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use wheel_types::{CentreName, InstanceName};

use crate::{ChildProcess, FreePorts, HarnessError, ProcessSignal};

/// The ports of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct InstancePorts {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where other instances call.
    pub peer: SocketAddr,
    /// Where entry instances relay to.
    pub relay: SocketAddr,
}

impl InstancePorts {
    /// Takes four free ports.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if there are none.
    pub fn take(ports: &mut FreePorts) -> Result<Self, HarnessError> {
        Ok(Self {
            callers: ports.take()?,
            operators: ports.take()?,
            peer: ports.take()?,
            relay: ports.take()?,
        })
    }
}

/// A daemon, running or not, with what it takes to start it again.
#[derive(Debug)]
pub struct LocalInstance {
    /// Its name.
    pub name: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its ports, kept over restarts.
    pub ports: InstancePorts,
    /// Its data folder, on control instances.
    pub folder: Option<PathBuf>,
    pub(crate) arguments: Vec<String>,
    pub(crate) log: PathBuf,
    pub(crate) process: Option<ChildProcess>,
}

impl LocalInstance {
    /// Starts it, or starts it again.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if it can't be started.
    pub fn start(&mut self) -> Result<(), HarnessError> {
        let name = self.name.as_str();
        self.process =
            Some(ChildProcess::spawn("wisteriawheeld", name, &self.arguments, &self.log)?);
        Ok(())
    }

    /// Kills it.
    pub fn kill(&mut self) {
        self.process = None;
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: ProcessSignal) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }

    /// Its process, if it runs.
    pub fn process(&mut self) -> Option<&mut ChildProcess> {
        self.process.as_mut()
    }

    /// Where its log is written.
    pub fn log(&self) -> &Path {
        &self.log
    }
}
