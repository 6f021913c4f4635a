//! A control instance whose reply belongs to another kind of call.
//!
//! It says nothing of what was submitted. Taken for one that nothing was appended, an operator's change or
//! a claim is reported as certainly not made, and may be in force all the same.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::runtime::Handle;
use tokio::time::Instant;
use wheel_agreement::{GroupAction, NodeId, VoterChange, encode};
use wheel_control::{AddressResolver, GroupClient, GroupError, GroupReply, SubmitAnswer};
use wheel_peer::{
    PeerAddress, PeerChannel, PeerHandler, PeerHub, PeerIdentity, PeerRefusal, PeerSettings,
};
use wheel_types::InstanceName;

/// Time for a submission.
const LIMIT: Duration = Duration::from_millis(700);

/// Gives the same reply to each call.
struct SameReply(GroupReply);

impl PeerHandler for SameReply {
    fn handle(
        &self,
        _: PeerIdentity,
        _: PeerChannel,
        _: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        let reply = encode(&self.0).map_err(|_| PeerRefusal::new("no encoding"));
        std::future::ready(reply).boxed()
    }
}

/// The address of the only control instance.
struct OnlyAddress(SocketAddr);

impl AddressResolver for OnlyAddress {
    fn peer_address(&self, instance: &InstanceName) -> Option<PeerAddress> {
        Some(PeerAddress::new(instance.clone(), self.0))
    }
}

/// A client of one control instance that gives `reply` to everything, and that instance.
fn bind(reply: GroupReply) -> (GroupClient, PeerHub) {
    let bind = |name: &str, reply| {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = PeerSettings::new("test", name.into(), Handle::current()).listen(any_port);
        PeerHub::bind(settings, Arc::new(SameReply(reply))).expect("loopback can be listened on")
    };
    let (own, control) = (bind("i1", reply.clone()), bind("c1", reply));
    let addresses = Arc::new(OnlyAddress(control.local_addr()));
    (GroupClient::new(own, addresses, None, &["c1".into()]), control)
}

fn adopt() -> GroupAction {
    GroupAction::AdoptDocument { version: 1, bytes: Arc::from(&b"text"[..]) }
}

fn changed() -> GroupReply {
    GroupReply::Submitted(SubmitAnswer::VoterChanged)
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_replied_to_as_another_call_is_unresolved() {
    for reply in [GroupReply::Read(None), changed()] {
        let (client, _control) = bind(reply.clone());
        let submitted = client.submit(adopt(), Instant::now() + LIMIT).await;
        assert_eq!(submitted.err(), Some(GroupError::Unresolved), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_voter_replied_to_as_another_call_is_unresolved() {
    let (client, _control) = bind(GroupReply::Read(None));
    let change = || VoterChange::Remove(NodeId::new("c1", 1));
    let end = client.change_voter(change(), Instant::now() + LIMIT).await;
    assert_eq!(end, Err(GroupError::Unresolved));
    let (client, _control) = bind(changed());
    assert_eq!(client.change_voter(change(), Instant::now() + LIMIT).await, Ok(()));
}
