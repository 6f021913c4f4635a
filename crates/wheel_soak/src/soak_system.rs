//! All processes of the system under test.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::task::AbortHandle;
use wheel_harness::FreePorts;

use crate::soak_error::IoSnafu;
use crate::{ObservationSink, ProcessFiles, SoakError, SoakProcess};

/// Number of control instances of every system that its settings name; one of them may fail.
pub const CONTROL_COUNT: usize = 3;
/// Name of the spare control instance.
pub(crate) const SPARE_NAME: &str = "control-spare";
/// Grace period from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);
/// Pause before a new holder of the order authority sends its first order; that of the platform. It
/// outlasts an election, which a holder that didn't wait would need anyway.
pub const LEASE: Duration = Duration::from_millis(3_000);
/// Interval at which the processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bounds of runs with teams; `revokeMs` is that of [`crate::GuaranteeBounds::withdrawal_time`].
const TEAM_BOUNDS: &str = "revokeFailClosed = true\nrevokeMs = 5000\n";

/// Settings that all processes share.
#[derive(Clone, Debug)]
struct SharedSettings {
    folder: PathBuf,
    list: SocketAddr,
    /// Further settings below `[bounds]`.
    bounds: &'static str,
    /// The two middle bytes of all addresses.
    network: [u8; 2],
    /// Number of processes without the spare control instance, which comes after them.
    count: usize,
    peer_port: u16,
    operator_port: u16,
    caller_port: u16,
    readiness_port: u16,
}

/// Running processes, of which the first ones are control instances; killed when it is dropped.
pub struct SoakSystem {
    processes: Arc<[Mutex<SoakProcess>]>,
    shared: SharedSettings,
    supervisor: AbortHandle,
}

impl SoakSystem {
    /// Starts `count` processes with their files in `folder` and the platform's list at `list`, and
    /// after them a spare control instance if `has_spare`, which no settings name.
    ///
    /// # Errors
    /// [`SoakError`] if a port, a file or a process fails.
    pub fn spawn(
        count: usize,
        folder: &Path,
        list: SocketAddr,
        sink: &ObservationSink,
        (has_teams, has_spare): (bool, bool),
    ) -> Result<Self, SoakError> {
        let mut ports = FreePorts;
        let mut take = || ports.take().map(|address| address.port());
        // Concurrent soaks use different addresses.
        let [.., high, low] = std::process::id().to_be_bytes();
        let shared = SharedSettings {
            folder: folder.to_owned(),
            list,
            bounds: if has_teams { TEAM_BOUNDS } else { "" },
            network: [64 + high % 128, low],
            count,
            peer_port: take()?,
            operator_port: take()?,
            caller_port: take()?,
            readiness_port: take()?,
        };
        let start = |index| {
            let files = shared.files(index);
            shared.write(index, index < count)?;
            Ok(Mutex::new(SoakProcess::spawn(files, GRACE, sink.clone())?))
        };
        let all = 0..count + usize::from(has_spare);
        let processes: Vec<_> = all.map(start).collect::<Result<_, SoakError>>()?;
        let processes: Arc<[_]> = processes.into();
        let supervisor = tokio::spawn(supervise(Arc::clone(&processes))).abort_handle();
        Ok(Self { processes, shared, supervisor })
    }

    /// Makes processes join the existing system at their next start instead of bootstrapping one.
    ///
    /// # Errors
    /// [`SoakError::Io`] if the settings can't be written.
    pub fn end_bootstrap(&self) -> Result<(), SoakError> {
        (0..self.processes.len()).try_for_each(|index| self.shared.write(index, false))
    }

    /// Kills the process `index`, which restarts after `pause` without its data and joins the system.
    ///
    /// # Errors
    /// [`SoakError::Io`] if the settings can't be written.
    pub fn lose_at_start(&self, index: usize, pause: Duration) -> Result<(), SoakError> {
        self.shared.write(index, false)?;
        self.with(index, |process| process.kill(pause, true));
        Ok(())
    }

    /// The number of processes without the spare control instance.
    pub fn count(&self) -> usize {
        self.shared.count
    }

    /// The indices of all control instances, the spare one included.
    pub fn controls(&self) -> impl Iterator<Item = usize> + Clone + use<> {
        (0..CONTROL_COUNT).chain(self.shared.count..self.processes.len())
    }

    /// Calls `act` with the process `index`.
    pub fn with<T>(&self, index: usize, act: impl FnOnce(&mut SoakProcess) -> T) -> T {
        act(&mut self.processes[index].lock())
    }

    /// The name of the process `index`.
    pub fn name(&self, index: usize) -> Arc<str> {
        self.shared.name(index)
    }

    /// The address at which a control instance serves operators.
    pub fn operator_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.shared.ip(index), self.shared.operator_port)
    }

    /// The address at which an ingress instance serves callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.shared.ip(index), self.shared.caller_port)
    }

    /// The address at which an ingress instance reports its readiness.
    pub fn readiness_address(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.shared.ip(index), self.shared.readiness_port)
    }
}

impl Drop for SoakSystem {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

impl SharedSettings {
    /// Each process has its own IP address; ports are the same for all.
    fn ip(&self, index: usize) -> IpAddr {
        let [high, low] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, high, low, 1 + index as u8))
    }

    fn is_control(&self, index: usize) -> bool {
        index < CONTROL_COUNT || index >= self.count
    }

    fn name(&self, index: usize) -> Arc<str> {
        if index < self.count { process_name(index) } else { SPARE_NAME.into() }
    }

    fn files(&self, index: usize) -> ProcessFiles {
        let name = self.name(index);
        let path = |end: &str| self.folder.join(format!("{name}{end}"));
        ProcessFiles {
            settings: path(".toml"),
            log: path(".log"),
            data: path("-data"),
            name: Arc::clone(&name),
        }
    }

    fn write(&self, index: usize, bootstrap: bool) -> Result<(), SoakError> {
        let ip = self.ip(index);
        let files = self.files(index);
        let seeds = (0..CONTROL_COUNT)
            .map(|seed| format!("\"{}:{}\"", self.ip(seed), self.operator_port))
            .collect::<Vec<_>>()
            .join(",");
        let (serves, listen) = if self.is_control(index) {
            ("control_plane", format!("controlPlane = \"{ip}:{}\"", self.operator_port))
        } else {
            let (callers, readiness) = (self.caller_port, self.readiness_port);
            let callers = format!("frontend = \"{ip}:{callers}\"");
            ("frontend", format!("{callers}\nreadinessEndpoint = \"{ip}:{readiness}\""))
        };
        let text = format!(
            "nodeName = \"{}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"z{}\"\n\
             internalPorts = [{peer},{peer}]\nseedNodes = [{seeds}]\nbootstrap = {bootstrap}\n\
             dataDir = \"{}\"\n[listen]\n{listen}\n[faultTolerance]\nmachines = 1\n\
             [bounds]\nleaseMs = {}\ngraceS = {}\n{}[cloudApi]\naddress = \"{}\"\n",
            files.name,
            index % 2,
            files.data.display(),
            LEASE.as_millis(),
            GRACE.as_secs(),
            self.bounds,
            self.list,
            peer = self.peer_port,
        );
        // Replaced atomically, since a process may read the file at any time.
        let part = files.settings.with_extension("part");
        let what = || format!("write {}", files.settings.display());
        std::fs::write(&part, text).with_context(|_| IoSnafu { what: what() })?;
        std::fs::rename(&part, &files.settings).with_context(|_| IoSnafu { what: what() })
    }
}

/// The name of the process `index`.
pub(crate) fn process_name(index: usize) -> Arc<str> {
    let role = if index < CONTROL_COUNT { "control" } else { "entry" };
    format!("{role}-{index}").into()
}

async fn supervise(processes: Arc<[Mutex<SoakProcess>]>) {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    loop {
        ticks.tick().await;
        for process in &*processes {
            // A failed start is retried at the next poll.
            let _ = process.lock().poll();
        }
    }
}
