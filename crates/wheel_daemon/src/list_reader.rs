//! Reads the platform's list of live and leaving instances.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use spdlog::{info, warn};
use wheel_placement::OddEntryLog;
use wheel_seams::boot_now;
use wheel_types::UpstreamName;

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
    address: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
    list: LeavingList,
    odd_log: OddEntryLog,
    leaving: HashSet<UpstreamName>,
    failing: bool,
}

impl ListReader {
    pub(crate) fn spawn(parts: Arc<DaemonParts>, address: SocketAddr) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut reader = Self {
            parts,
            address,
            client,
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

    async fn fetch(&self) -> Result<Bytes, String> {
        let uri = format!("http://{}/instances", self.address).parse();
        let uri = uri.map_err(|error: http::uri::InvalidUri| error.to_string())?;
        let answer = self.client.get(uri).await.map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
        body.map(Collected::to_bytes).map_err(|error| error.to_string())
    }

    async fn read(&mut self) -> Result<(), String> {
        let body = tokio::time::timeout(READ_TIMEOUT, self.fetch()).await;
        let body = body.unwrap_or_else(|_| Err("no answer in time".to_owned()))?;
        let now = boot_now();
        let odd = self.list.read(now, &body)?;
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
