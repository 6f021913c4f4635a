//! The checked settings of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use spdlog::Level;
use wheel_types::{CentreName, InstanceName};

use crate::PeerEntry;

/// Everything that a daemon is told when it starts.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// This instance's name.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// The group's name.
    pub group: Arc<str>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub admin_listen: SocketAddr,
    /// Where other instances call.
    pub peer_listen: SocketAddr,
    /// Where entry instances relay requests to.
    pub relay_listen: SocketAddr,
    /// All instances that are known at the start, this one among them.
    pub peers: Vec<PeerEntry>,
    /// The control instances that form the group.
    pub control: Vec<InstanceName>,
    /// The data folder.
    pub data_folder: Option<PathBuf>,
    /// The secret that all instances share.
    pub secret: Option<Arc<[u8]>>,
    /// The BLAKE3 hash of the operators' token.
    pub admin_token_hash: Option<blake3::Hash>,
    /// The platform's instance list.
    pub instance_list: Option<SocketAddr>,
    /// Time for requests in hand after SIGTERM.
    pub drain_limit: Duration,
    /// Time after which an order to an engine is dead.
    pub order_life: Duration,
    /// Length of a data centre's lease.
    pub lease_term: Duration,
    /// Time that a model stays at least once it is loaded.
    pub min_residence: Duration,
    /// Requests open at once.
    pub open_requests: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Worker threads.
    pub workers: usize,
    /// The level from which on events are logged.
    pub log_level: Level,
}

impl DaemonSettings {
    /// Whether this instance takes part in the replicated log.
    pub fn is_control(&self) -> bool {
        self.control.contains(&self.instance)
    }

    /// How other instances are told of this one.
    pub fn own_entry(&self) -> PeerEntry {
        let listed = self.peers.iter().find(|peer| peer.instance == self.instance);
        listed.cloned().unwrap_or_else(|| PeerEntry {
            instance: self.instance.clone(),
            centre: self.centre.clone(),
            peer: self.peer_listen,
            relay: self.relay_listen,
        })
    }
}
