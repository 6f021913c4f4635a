//! Control instances that share a process.
#![allow(clippy::expect_used, dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use wheel_agreement::{NodeId, RaftMessage, decode, encode};
use wheel_control::{AddressResolver, ControlNode, ControlSettings, DocumentState, GroupCall};
use wheel_peer::{PeerAddress, PeerChannel, PeerHandler, PeerHub, PeerIdentity, PeerRefusal};
use wheel_types::InstanceName;

/// Instances are named by their addresses.
pub(crate) struct NamedAddresses;

impl AddressResolver for NamedAddresses {
    fn peer_address(&self, instance: &InstanceName) -> Option<PeerAddress> {
        Some(PeerAddress::new(instance.clone(), instance.as_str().parse().ok()?))
    }
}

/// Passes calls to the control instance once it is set. Reports are answered without it.
#[derive(Clone, Default)]
pub(crate) struct ControlHandler {
    control: Arc<OnceLock<ControlNode>>,
}

impl ControlHandler {
    pub(crate) fn set(&self, control: ControlNode) {
        let _ = self.control.set(control);
    }
}

impl PeerHandler for ControlHandler {
    fn handle(
        &self,
        _: PeerIdentity,
        channel: PeerChannel,
        body: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        let control = Arc::clone(&self.control);
        async move {
            if channel == PeerChannel::Report {
                return Ok(Vec::new());
            }
            let control = control.get().ok_or_else(|| PeerRefusal::new("not started"))?;
            if channel == PeerChannel::Agreement {
                let (from, to, message): (NodeId, NodeId, RaftMessage) =
                    decode(&body).expect("a message");
                control.receive_message(from, &to, message);
                return Ok(Vec::new());
            }
            let call: GroupCall = decode(&body).expect("a call");
            Ok(encode(&control.answer(call).await).expect("a reply has an encoding"))
        }
        .boxed()
    }
}

pub(crate) fn name_of(address: &SocketAddr) -> InstanceName {
    InstanceName::from(address.to_string().as_str())
}

/// Starts the control instance that is named by the address at `index` of `names`, with the data
/// folder `folder`.
pub(crate) fn spawn_control(
    index: usize,
    names: &[SocketAddr],
    hub: &PeerHub,
    folder: &Path,
    documents: &Arc<DocumentState>,
) -> ControlNode {
    let settings = ControlSettings {
        instance: name_of(&names[index]),
        voters: names.iter().map(name_of).collect(),
        folder: folder.to_owned(),
        seed: index as u64,
        start: Instant::now(),
        may_bootstrap: true,
        is_first_folder: false,
        target_voters: Some(names.len()),
        replace_voter_after: Duration::from_secs(3),
    };
    ControlNode::spawn(
        settings,
        hub.clone(),
        Arc::new(NamedAddresses),
        Arc::default(),
        Arc::clone(documents),
    )
    .expect("the folder can be used")
}
