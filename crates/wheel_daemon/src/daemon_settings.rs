//! The checked settings of the daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use spdlog::Level;
use wheel_types::{CentreName, InstanceName};

use crate::PeerEntry;

/// The settings of a daemon.
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
    /// Where ingress instances relay requests to.
    pub relay_listen: SocketAddr,
    /// All instances known at the start, which may include this one.
    pub peers: Vec<PeerEntry>,
    /// The control instances that form the group.
    pub control: Vec<InstanceName>,
    /// The data folder.
    pub data_folder: Option<PathBuf>,
    /// The secret that all instances share.
    pub secret: Option<Arc<[u8]>>,
    /// The BLAKE3 hash of the operators' token.
    pub admin_token_hash: Option<blake3::Hash>,
    /// The address of the platform's instance list.
    pub instance_list: Option<SocketAddr>,
    /// Time for open requests after SIGTERM.
    pub drain_limit: Duration,
    /// Time after which an order to an engine expires.
    pub order_life: Duration,
    /// Length of a data centre's lease.
    pub lease_term: Duration,
    /// Shortest time for which a model stays loaded.
    pub min_residence: Duration,
    /// Largest number of open requests.
    pub open_requests: usize,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Worker threads.
    pub workers: usize,
    /// The lowest level that is logged.
    pub log_level: Level,
}

impl DaemonSettings {
    /// Whether this instance takes part in the replicated log.
    pub fn is_control(&self) -> bool {
        self.control.contains(&self.instance)
    }

    /// This instance's entry in the list of peers, or one made from its own settings.
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
