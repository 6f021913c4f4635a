//! Answers calls of other instances of a fleet with service discovery.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use metrics::gauge;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wheel_agreement::{NodeId, RaftMessage, decode, encode};
use wheel_control::{ControlNode, DocumentState, GroupCall};
use wheel_peer::{PeerChannel, PeerHandler, PeerIdentity, PeerRefusal};
use wheel_placement::{DocumentSource, FleetRegistry};
use wheel_route::{
    AllowanceRequest, ControlEndpoint, DocumentRequest, SyncAnswer, SyncReply, SyncRequest,
};

/// Longest time for which a reply is delayed to wait for a change.
const MAX_HOLD: Duration = Duration::from_millis(300);

/// The state from which a control instance answers.
pub(crate) struct RouterParts {
    pub(crate) own: ControlEndpoint,
    pub(crate) control: ControlNode,
    pub(crate) documents: Arc<DocumentState>,
    pub(crate) source: DocumentSource,
    pub(crate) registry: Arc<FleetRegistry>,
}

/// Dispatches calls by channel; ingress instances answer none.
#[derive(Clone, Default)]
pub(crate) struct FleetRouter {
    parts: Arc<OnceLock<RouterParts>>,
}

impl FleetRouter {
    pub(crate) fn set_parts(&self, parts: RouterParts) {
        let _ = self.parts.set(parts);
    }
}

impl PeerHandler for FleetRouter {
    fn handle(
        &self,
        peer: PeerIdentity,
        channel: PeerChannel,
        body: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        let parts = Arc::clone(&self.parts);
        async move {
            let parts =
                parts.get().ok_or_else(|| PeerRefusal::new("nothing is served here yet"))?;
            answer(parts, &peer, channel, &body).await
        }
        .boxed()
    }
}

async fn answer(
    parts: &RouterParts,
    peer: &PeerIdentity,
    channel: PeerChannel,
    body: &[u8],
) -> Result<Vec<u8>, PeerRefusal> {
    match channel {
        PeerChannel::Agreement => {
            let (from, to, message): (NodeId, NodeId, RaftMessage) = read(body)?;
            if from.instance != peer.instance {
                return Err(PeerRefusal::new("a message is sent in another's name"));
            }
            parts.control.receive_message(from, &to, message);
            Ok(Vec::new())
        }
        PeerChannel::Claim => {
            let call: GroupCall = read(body)?;
            write(&parts.control.answer(call).await)
        }
        PeerChannel::Manifest => {
            let request: DocumentRequest = read(body)?;
            write(&parts.source.answer(&request).await)
        }
        PeerChannel::Demand => {
            let request: AllowanceRequest = read(body)?;
            write(&parts.registry.allowances().answer(request).await)
        }
        PeerChannel::Report => {
            let request: SyncRequest = read(body)?;
            write(&sync(parts, request).await)
        }
        _ => Err(PeerRefusal::new("nothing is served on this channel")),
    }
}

async fn sync(parts: &RouterParts, request: SyncRequest) -> SyncAnswer {
    let hold = Duration::from_millis(u64::from(request.hold_ms)).min(MAX_HOLD);
    let (instance, held_view) = (Arc::clone(&request.instance), request.held_view);
    parts.registry.record(request);
    if !hold.is_zero() {
        let _ = tokio::time::timeout(hold, parts.registry.changed(held_view)).await;
    }
    // Read before the configuration, which may only be newer than what was proven.
    let proof_age = parts.registry.proof_age();
    let version = parts.documents.version();
    gauge!("wheel_instances_behind").set(parts.registry.count_behind(version) as f64);
    let mut control = parts.registry.control();
    if !control.contains(&parts.own) {
        control.push(parts.own.clone());
    }
    let reply = SyncReply {
        version,
        fleet: None,
        control,
        limit_grants: parts.registry.grant_limits(&instance),
        proof_age_ms: proof_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    };
    SyncAnswer { reply, view: parts.registry.view_update(held_view) }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerRefusal> {
    decode(body).map_err(|error| PeerRefusal::new(error.to_string()))
}

fn write<T: Serialize>(answer: &T) -> Result<Vec<u8>, PeerRefusal> {
    encode(answer).map_err(|error| PeerRefusal::new(error.to_string()))
}
