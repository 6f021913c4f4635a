//! A document that takes several heartbeats to reach another control instance. It must be sent to
//! each once and be acknowledged, however often its operator sends it again meanwhile.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use support::{ControlHandler, NamedAddresses, name_of, spawn_control};
use tokio::runtime::Handle;
use wheel_agreement::{GroupAction, RoleName};
use wheel_control::{ControlNode, DocumentState, GroupClient};
use wheel_harness::{FreePorts, LinkRelay, LinkState};
use wheel_peer::{PeerChannel, PeerHub, PeerSettings};

/// Time within which a configuration must be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Time within which a read must be answered, so that operators don't go elsewhere.
const READ_LIMIT: Duration = Duration::from_millis(900);
/// Time for each 16 KiB of a connection: 2.7 MB/s, and a round trip of 12 ms.
const LINK_DELAY: Duration = Duration::from_millis(6);
const DOCUMENT_BYTES: usize = 2 << 20;
/// Operators send a change again after this time without an answer.
const RESEND_TIME: Duration = Duration::from_secs(1);

/// A control instance that the others reach over a slow link.
struct TestNode {
    control: ControlNode,
    documents: Arc<DocumentState>,
    client: GroupClient,
    hub: PeerHub,
    link: LinkRelay,
    _folder: tempfile::TempDir,
}

impl TestNode {
    async fn open(index: usize, names: &[SocketAddr]) -> Self {
        let voters: Vec<_> = names.iter().map(name_of).collect();
        let instance = voters[index].clone();
        let handler = ControlHandler::default();
        let settings = PeerSettings::new("test", instance.clone(), Handle::current());
        let hub = PeerHub::bind(
            settings.listen(FreePorts.take().expect("a free port")),
            Arc::new(handler.clone()),
        );
        let hub = hub.expect("loopback can be listened on");
        let link = LinkRelay::bind_at(names[index], hub.local_addr(), None).await;
        let folder = tempfile::tempdir().expect("a folder");
        let documents: Arc<DocumentState> = Arc::default();
        let control = spawn_control(index, names, &hub, folder.path(), &documents);
        handler.set(control.clone());
        let addresses = Arc::new(NamedAddresses);
        let client = GroupClient::new(hub.clone(), addresses, Some(control.clone()), &voters);
        Self {
            control,
            documents,
            client,
            hub,
            link: link.expect("the address is free"),
            _folder: folder,
        }
    }

    async fn leads(&self) -> bool {
        self.control.status().await.is_some_and(|status| status.role == RoleName::Leader)
    }

    /// Bytes of the log's messages sent so far.
    fn sent_bytes(&self) -> u64 {
        self.hub.counters().channels[PeerChannel::Agreement.index()].bytes_sent
    }
}

/// Three nodes with a leader, the leader first.
async fn open_group() -> Vec<TestNode> {
    let names: Vec<SocketAddr> = (0..3).map(|_| FreePorts.take().expect("a free port")).collect();
    let mut nodes = Vec::new();
    for index in 0..names.len() {
        nodes.push(TestNode::open(index, &names).await);
    }
    let limit = Instant::now() + Duration::from_secs(10);
    loop {
        for index in 0..nodes.len() {
            if nodes[index].leads().await {
                nodes.swap(0, index);
                return nodes;
            }
        }
        assert!(Instant::now() < limit, "no leader");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn submit_large_document_is_sent_to_each_instance_once() {
    let nodes = open_group().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    nodes.iter().for_each(|node| node.link.set(LinkState::Delayed(LINK_DELAY)));
    let (sent_before, began) = (nodes[0].sent_bytes(), Instant::now());
    let bytes: Arc<[u8]> = vec![7; DOCUMENT_BYTES].into();
    // The operator sends it to one instance, then to another one, as its answer takes long.
    let send = |client: GroupClient, after: Duration| {
        let action = GroupAction::AdoptDocument { version: 1, bytes: Arc::clone(&bytes) };
        async move {
            tokio::time::sleep(after).await;
            let deadline = Instant::now() + ACK_LIMIT;
            client.submit(action, deadline.into()).await.map(|_| began.elapsed())
        }
    };
    let calls = [1, 2, 0].map(|index| {
        let after = RESEND_TIME * ((index + 2) % 3) as u32;
        tokio::spawn(send(nodes[index].client.clone(), after))
    });
    let acks: Vec<_> =
        join_all(calls).await.into_iter().map(|ack| ack.expect("no panic")).collect();
    // Whatever is still on its way, or is sent again, counts too.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let sent = nodes[0].sent_bytes() - sent_before;
    let held: Vec<u64> = nodes.iter().map(|node| node.documents.version()).collect();
    assert_eq!(held, [1, 1, 1], "acknowledged {acks:?}, sent {sent}");
    assert!(
        acks.iter().flatten().any(|took| *took < ACK_LIMIT),
        "acknowledged {acks:?}, sent {sent}"
    );
    let expected = 2 * DOCUMENT_BYTES as u64;
    assert!(sent < expected + expected / 4, "acknowledged {acks:?}, sent {sent}");
}

/// A read at another instance than the leader must be answered in the time for one attempt, however
/// large the document is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn read_of_a_large_document_is_confirmed_at_each_instance() {
    let nodes = open_group().await;
    let bytes: Arc<[u8]> = vec![7; DOCUMENT_BYTES].into();
    let action = GroupAction::AdoptDocument { version: 1, bytes };
    let deadline = Instant::now() + ACK_LIMIT;
    nodes[0].client.submit(action, deadline.into()).await.expect("a leader");
    nodes.iter().for_each(|node| node.link.set(LinkState::Delayed(LINK_DELAY)));
    for node in &nodes {
        let deadline = Instant::now() + READ_LIMIT;
        assert!(node.client.read(deadline.into()).await.is_some());
    }
}
