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

/// Control instances of every system; one of them may be lost.
pub const CONTROL_COUNT: usize = 3;
/// The time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(4);
/// The pause of a new holder of the right to order.
pub const LEASE: Duration = Duration::from_millis(1_000);
/// Time between two looks at the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// What the settings of all processes share.
#[derive(Clone, Debug)]
struct SharedSettings {
    folder: PathBuf,
    list: SocketAddr,
    /// The middle bytes of all addresses.
    network: [u8; 2],
    peer_port: u16,
    operator_port: u16,
    caller_port: u16,
    readiness_port: u16,
}

/// Running processes, the control instances first; killed when it is dropped.
pub struct SoakSystem {
    processes: Arc<[Mutex<SoakProcess>]>,
    shared: SharedSettings,
    keeper: AbortHandle,
}

impl SoakSystem {
    /// Starts `count` processes with their files in `folder`, before the platform's list.
    ///
    /// # Errors
    /// [`SoakError`] if a port, a file or a process fails.
    pub fn spawn(
        count: usize,
        folder: &Path,
        list: SocketAddr,
        sink: &ObservationSink,
    ) -> Result<Self, SoakError> {
        let mut ports = FreePorts;
        let mut take = || ports.take().map(|address| address.port());
        // Soaks that run beside each other don't share addresses.
        let [.., high, low] = std::process::id().to_be_bytes();
        let shared = SharedSettings {
            folder: folder.to_owned(),
            list,
            network: [64 + high % 128, low],
            peer_port: take()?,
            operator_port: take()?,
            caller_port: take()?,
            readiness_port: take()?,
        };
        let start = |place| {
            let files = shared.files(place);
            shared.write(place, true)?;
            Ok(Mutex::new(SoakProcess::spawn(files, GRACE, sink.clone())?))
        };
        let processes: Vec<_> = (0..count).map(start).collect::<Result<_, SoakError>>()?;
        let processes: Arc<[_]> = processes.into();
        let keeper = tokio::spawn(keep(Arc::clone(&processes))).abort_handle();
        Ok(Self { processes, shared, keeper })
    }

    /// From now on, processes start as parts of a system that exists.
    ///
    /// # Errors
    /// [`SoakError::Io`] if the settings can't be written.
    pub fn end_bootstrap(&self) -> Result<(), SoakError> {
        (0..self.processes.len()).try_for_each(|place| self.shared.write(place, false))
    }

    /// The number of processes.
    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Calls `act` with the process `place`.
    pub fn with<T>(&self, place: usize, act: impl FnOnce(&mut SoakProcess) -> T) -> T {
        act(&mut self.processes[place].lock())
    }

    /// The name of the process `place`.
    pub fn name(&self, place: usize) -> Arc<str> {
        process_name(place)
    }

    /// Where a control instance serves operators.
    pub fn operators(&self, place: usize) -> SocketAddr {
        SocketAddr::new(self.shared.ip(place), self.shared.operator_port)
    }

    /// Where an entry serves callers.
    pub fn callers(&self, place: usize) -> SocketAddr {
        SocketAddr::new(self.shared.ip(place), self.shared.caller_port)
    }

    /// Where an entry says whether it is ready.
    pub fn readiness(&self, place: usize) -> SocketAddr {
        SocketAddr::new(self.shared.ip(place), self.shared.readiness_port)
    }
}

impl Drop for SoakSystem {
    fn drop(&mut self) {
        self.keeper.abort();
    }
}

impl SharedSettings {
    /// A process's name is its address, and ports are the same everywhere.
    fn ip(&self, place: usize) -> IpAddr {
        let [high, low] = self.network;
        IpAddr::V4(Ipv4Addr::new(127, high, low, 1 + place as u8))
    }

    fn files(&self, place: usize) -> ProcessFiles {
        let name = process_name(place);
        let path = |end: &str| self.folder.join(format!("{name}{end}"));
        ProcessFiles {
            settings: path(".toml"),
            log: path(".log"),
            data: path("-data"),
            name: Arc::clone(&name),
        }
    }

    fn write(&self, place: usize, bootstrap: bool) -> Result<(), SoakError> {
        let ip = self.ip(place);
        let files = self.files(place);
        let seeds = (0..CONTROL_COUNT)
            .map(|seed| format!("\"{}:{}\"", self.ip(seed), self.operator_port))
            .collect::<Vec<_>>()
            .join(",");
        let (serves, listen) = if place < CONTROL_COUNT {
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
             [bounds]\nleaseMs = {}\ngraceS = {}\n[cloudApi]\naddress = \"{}\"\n",
            files.name,
            place % 2,
            files.data.display(),
            LEASE.as_millis(),
            GRACE.as_secs(),
            self.list,
            peer = self.peer_port,
        );
        // A process may read it at any time.
        let part = files.settings.with_extension("part");
        let what = || format!("write {}", files.settings.display());
        std::fs::write(&part, text).with_context(|_| IoSnafu { what: what() })?;
        std::fs::rename(&part, &files.settings).with_context(|_| IoSnafu { what: what() })
    }
}

/// The name of the process `place`.
pub(crate) fn process_name(place: usize) -> Arc<str> {
    let side = if place < CONTROL_COUNT { "control" } else { "entry" };
    format!("{side}-{place}").into()
}

async fn keep(processes: Arc<[Mutex<SoakProcess>]>) {
    let mut ticks = tokio::time::interval(LOOK_INTERVAL);
    loop {
        ticks.tick().await;
        for process in &*processes {
            // A start that failed is tried again at the next look.
            let _ = process.lock().look();
        }
    }
}
