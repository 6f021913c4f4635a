//! Reads the platform's list of live and leaving instances.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use spdlog::{info, warn};
use wheel_placement::OddEntryLog;
use wheel_seams::boot_now;
use wheel_types::UpstreamName;
use wheel_upstream::{ConnectionLimits, DirectClient};

use crate::member_driver::listed_instance;
use crate::{DaemonParts, LeavingList};

/// Time between two readings.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of one reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Reads the list periodically. The list lags and may fail; what it lacks is learned from
/// heartbeats and from the upstreams themselves.
pub(crate) struct ListReader {
    parts: Arc<DaemonParts>,
    client: DirectClient,
    list: LeavingList,
    odd_log: OddEntryLog,
    leaving: HashSet<UpstreamName>,
    failing: bool,
}

impl ListReader {
    pub(crate) fn spawn(parts: Arc<DaemonParts>, address: SocketAddr) {
        let limits =
            ConnectionLimits { max_answer_bytes: MAX_LIST_BYTES, ..ConnectionLimits::default() };
        let mut reader = Self {
            parts,
            client: DirectClient::open(address, limits),
            list: LeavingList::default(),
            odd_log: OddEntryLog::default(),
            leaving: HashSet::new(),
            failing: false,
        };
        tokio::spawn(async move {
            loop {
                match reader.read().await {
                    Ok(()) => reader.apply_list(),
                    Err(reason) => reader.log_failure(&reason),
                }
                tokio::time::sleep(READ_INTERVAL).await;
            }
        });
    }

    async fn read(&mut self) -> Result<(), String> {
        let request = Request::get("/instances").body(Bytes::new());
        let request = request.map_err(|error| error.to_string())?;
        let answer = self.client.fetch(request, READ_TIMEOUT).await;
        let answer = answer.map_err(|failure| failure.to_string())?;
        if !answer.status.is_success() {
            return Err(format!("status {}", answer.status));
        }
        let now = boot_now();
        let odd = self.list.read(now, &answer.body)?;
        self.odd_log.record(now, &odd);
        Ok(())
    }

    fn apply_list(&mut self) {
        if std::mem::take(&mut self.failing) {
            info!("instance_list_read_again");
        }
        let upstreams = self.list.upstreams();
        if upstreams != self.leaving {
            info!("upstreams_leaving", kv: { count = upstreams.len() });
            self.leaving.clone_from(&upstreams);
            self.parts.owners.leaving().replace(upstreams);
        }
        let instances = self.list.instances();
        let listed = self.parts.instances.listed();
        let listed =
            listed.iter().map(|peer| listed_instance(peer, instances.contains(&peer.instance)));
        self.parts.members.apply_list(listed.collect());
    }

    fn log_failure(&mut self, reason: &str) {
        if !std::mem::replace(&mut self.failing, true) {
            warn!("instance_list_not_read", kv: { reason:? = reason });
        }
    }
}
