//! Answers calls from other instances.

use std::sync::{Arc, OnceLock};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wheel_agreement::{NodeId, RaftMessage, decode, encode};
use wheel_control::{GroupCall, GroupReply, ManifestPoll, SubmitAnswer, answer_poll};
use wheel_lease::LeaseRequest;
use wheel_peer::{PeerChannel, PeerHandler, PeerIdentity, PeerRefusal};
use wheel_serving::{ReportList, ReportMessage};
use wheel_types::DemandReport;

use crate::{AdminQuery, DaemonParts};

/// Dispatches calls to the responsible part by channel. Calls that arrive before the parts are set
/// are refused.
#[derive(Clone, Default)]
pub struct PeerRouter {
    parts: Arc<OnceLock<Arc<DaemonParts>>>,
}

impl PeerRouter {
    /// Sets the parts; calls are answered from now on.
    pub fn set_parts(&self, parts: Arc<DaemonParts>) {
        let _ = self.parts.set(parts);
    }
}

impl PeerHandler for PeerRouter {
    fn handle(
        &self,
        peer: PeerIdentity,
        channel: PeerChannel,
        body: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        let parts = self.parts.get().cloned();
        async move {
            let parts = parts.ok_or_else(|| PeerRefusal::new("the instance is starting"))?;
            answer(&parts, peer, channel, &body).await
        }
        .boxed()
    }
}

async fn answer(
    parts: &Arc<DaemonParts>,
    peer: PeerIdentity,
    channel: PeerChannel,
    body: &[u8],
) -> Result<Vec<u8>, PeerRefusal> {
    match channel {
        PeerChannel::Agreement => receive_message(parts, &peer, body),
        PeerChannel::Claim => {
            let call: GroupCall = read(body)?;
            write(&answer_group_call(parts, call).await)
        }
        PeerChannel::Manifest => {
            let poll: ManifestPoll = read(body)?;
            let parent = parts.manifest_parent();
            write(&answer_poll(&parts.manifest, poll, parent).await)
        }
        PeerChannel::Lease => {
            let request: LeaseRequest = read(body)?;
            if request.holder.instance != peer.instance {
                return Err(PeerRefusal::new("a lease is asked for in another's name"));
            }
            write(&parts.lease.answer(&request))
        }
        PeerChannel::Demand => {
            let report: DemandReport = read(body)?;
            write(&parts.director.record_demand(peer.instance, report))
        }
        PeerChannel::Report => {
            match read(body)? {
                ReportMessage::Engine(report) => parts.directory.record_report(*report),
                ReportMessage::Drain(notice) => {
                    parts.directory.apply_drain(&notice);
                    if let Some(owned) = parts.owners.get(&notice.upstream) {
                        owned.apply_drain(&notice);
                    }
                }
                ReportMessage::Query => {
                    return write(&ReportList { reports: parts.directory.reports() });
                }
            }
            Ok(Vec::new())
        }
        PeerChannel::Membership => parts.members.answer(&peer, body),
        PeerChannel::Admin => match read(body)? {
            AdminQuery::Status => write(&parts.status()),
            AdminQuery::Explain { subject } => write(&parts.decisions.find(&subject)),
        },
    }
}

fn receive_message(
    parts: &DaemonParts,
    peer: &PeerIdentity,
    body: &[u8],
) -> Result<Vec<u8>, PeerRefusal> {
    let (from, to, message): (NodeId, NodeId, RaftMessage) = read(body)?;
    if from.instance != peer.instance {
        return Err(PeerRefusal::new("a message is sent in another's name"));
    }
    if let Some(control) = &parts.control {
        control.receive_message(from, &to, message);
    }
    Ok(Vec::new())
}

async fn answer_group_call(parts: &DaemonParts, call: GroupCall) -> GroupReply {
    match &parts.control {
        Some(control) => control.answer(call).await,
        None => GroupReply::Submitted(SubmitAnswer::NotLeader { leader: None }),
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, PeerRefusal> {
    decode(body).map_err(|error| PeerRefusal::new(error.to_string()))
}

fn write<T: Serialize>(answer: &T) -> Result<Vec<u8>, PeerRefusal> {
    encode(answer).map_err(|error| PeerRefusal::new(error.to_string()))
}
