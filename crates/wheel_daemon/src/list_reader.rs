//! Reads the platform's list of live and leaving instances.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use spdlog::{info, warn};
use wheel_types::{InstanceName, UpstreamName};

use crate::DaemonParts;
use crate::member_driver::listed_instance;

/// Time between two readings.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of one reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// One entry of the list; see docs/PROTOCOLS.md.
#[derive(Clone, Debug, Deserialize)]
struct ListEntry {
    name: String,
    kind: EntryKind,
    state: EntryState,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum EntryKind {
    Instance,
    Upstream,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum EntryState {
    Live,
    Leaving,
}

/// Reads the list periodically. The list lags and may fail; what it lacks is learned from
/// heartbeats and from the upstreams themselves.
pub(crate) struct ListReader {
    parts: Arc<DaemonParts>,
    address: SocketAddr,
    client: Client<HttpConnector, Empty<Bytes>>,
    leaving: HashSet<UpstreamName>,
    failing: bool,
}

impl ListReader {
    pub(crate) fn spawn(parts: Arc<DaemonParts>, address: SocketAddr) {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let mut reader = Self { parts, address, client, leaving: HashSet::new(), failing: false };
        tokio::spawn(async move {
            loop {
                let entries = tokio::time::timeout(READ_TIMEOUT, reader.read()).await;
                match entries.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
                    Ok(entries) => reader.apply_list(&entries),
                    Err(reason) => reader.log_failure(&reason),
                }
                tokio::time::sleep(READ_INTERVAL).await;
            }
        });
    }

    async fn read(&self) -> Result<Vec<ListEntry>, String> {
        let uri = format!("http://{}/instances", self.address).parse();
        let uri = uri.map_err(|error: http::uri::InvalidUri| error.to_string())?;
        let answer = self.client.get(uri).await.map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    fn apply_list(&mut self, entries: &[ListEntry]) {
        if std::mem::take(&mut self.failing) {
            info!("instance_list_read_again");
        }
        let leaving = |kind| {
            let of_kind = entries.iter().filter(move |entry| entry.kind == kind);
            of_kind
                .filter(|entry| entry.state == EntryState::Leaving)
                .map(|entry| entry.name.as_str())
        };
        let upstreams: HashSet<UpstreamName> =
            leaving(EntryKind::Upstream).map(UpstreamName::from).collect();
        if upstreams != self.leaving {
            info!("upstreams_leaving", kv: { count = upstreams.len() });
            self.leaving.clone_from(&upstreams);
            self.parts.owners.leaving().replace(upstreams);
        }
        let instances: HashSet<InstanceName> =
            leaving(EntryKind::Instance).map(InstanceName::from).collect();
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
