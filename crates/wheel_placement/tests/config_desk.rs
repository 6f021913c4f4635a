//! Configurations are accepted by the group, also when their operator has given the call up.

#![allow(clippy::expect_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::runtime::Handle;
use wheel_control::{
    AddressResolver, ControlNode, ControlSettings, DocumentState, GroupClient, ManifestState,
};
use wheel_peer::{
    PeerAddress, PeerChannel, PeerHandler, PeerHub, PeerIdentity, PeerRefusal, PeerSettings,
};
use wheel_placement::{ConfigDesk, ConfigDialect, DirectingRight, PutEnd, RightTimes};
use wheel_route::{ConfigFault, FleetConfig};
use wheel_types::InstanceName;

/// Documents are just version numbers here.
struct NumberDialect;

impl ConfigDialect for NumberDialect {
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, ConfigFault> {
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let version = text.trim().parse();
        let version = version.map_err(|error: std::num::ParseIntError| {
            ConfigFault::Unreadable { reason: error.to_string() }
        })?;
        Ok(FleetConfig { version, ..FleetConfig::default() })
    }
}

struct NoBook;

impl AddressResolver for NoBook {
    fn peer_address(&self, _: &InstanceName) -> Option<PeerAddress> {
        None
    }
}

struct NoHandler;

impl PeerHandler for NoHandler {
    fn handle(
        &self,
        _: PeerIdentity,
        _: PeerChannel,
        _: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        async { Err(PeerRefusal::new("nothing is served here")) }.boxed()
    }
}

/// A group of one.
struct TestGroup {
    control: ControlNode,
    documents: Arc<DocumentState>,
    desk: Arc<ConfigDesk>,
}

fn open_group(folder: &std::path::Path, may_bootstrap: bool) -> TestGroup {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let name = InstanceName::from("only");
    let peer = PeerSettings::new("test", name.clone(), Handle::current()).listen(address);
    let hub = PeerHub::bind(peer, Arc::new(NoHandler)).expect("loopback can be listened on");
    let settings = ControlSettings {
        instance: name.clone(),
        voters: vec![name.clone()],
        folder: folder.to_owned(),
        seed: 1,
        start: Instant::now(),
        may_bootstrap,
        target_voters: Some(1),
        replace_voter_after: Duration::from_secs(3),
    };
    let documents: Arc<DocumentState> = Arc::default();
    let text: Arc<ManifestState> = Arc::default();
    let book: Arc<dyn AddressResolver> = Arc::new(NoBook);
    let control =
        ControlNode::spawn(settings, hub.clone(), book.clone(), text, Arc::clone(&documents))
            .expect("the folder can be used");
    let group = GroupClient::new(hub, book, Some(control.clone()), &[name]);
    let desk = Arc::new(ConfigDesk::new(group, Arc::new(NumberDialect)));
    TestGroup { control, documents, desk }
}

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn put_outlives_its_operator() {
    let folder = tempfile::tempdir().expect("a folder");
    let group = open_group(folder.path(), true);
    let mut committed = group.documents.subscribe();
    // Given up at once, before the group has even a leader.
    let call = tokio::spawn(Arc::clone(&group.desk).put(bytes("4")));
    tokio::time::sleep(Duration::from_millis(20)).await;
    call.abort();
    let changed = tokio::time::timeout(Duration::from_secs(10), committed.changed()).await;
    changed.expect("it is committed all the same").expect("the state stays");
    assert_eq!(group.documents.version(), 4);
    assert_eq!(Arc::clone(&group.desk).put(bytes("4")).await, PutEnd::Accepted, "a resend");
    assert_eq!(Arc::clone(&group.desk).put(bytes("3")).await, PutEnd::Accepted, "an older one");
    let invalid = Arc::clone(&group.desk).put(bytes("none")).await;
    assert!(matches!(invalid, PutEnd::Invalid(_)));
    let read = group.desk.read().await.expect("the leader is sure").expect("there is one");
    assert_eq!((read.version, &*read.bytes), (4, b"4".as_slice()));
    group.control.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_folder_never_forms_again() {
    // A later start with an empty folder belongs to a group that exists elsewhere: it waits to be taken in.
    let folder = tempfile::tempdir().expect("a folder");
    let group = open_group(folder.path(), false);
    let end = Arc::clone(&group.desk).put(bytes("1")).await;
    assert_eq!(end, PutEnd::Unresolved);
    assert!(group.desk.read().await.is_err(), "nobody is sure of anything");
    group.control.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn right_waits_for_a_predecessor() {
    let folder = tempfile::tempdir().expect("a folder");
    let times = RightTimes { span: Duration::from_millis(600), pause: Duration::from_millis(400) };
    let first = open_group(folder.path(), true);
    let right = DirectingRight::spawn(times, first.control.clone());
    while right.fencing().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let number = right.fencing();
    assert_eq!(number, Some(1), "the first term has no predecessor");
    first.control.stop();
    // The same instance again: it can't know whether another one ordered meanwhile.
    let second = open_group(folder.path(), true);
    let right = DirectingRight::spawn(times, second.control.clone());
    while right.leading_term().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    assert_eq!(right.fencing(), None);
    while right.fencing().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
    assert!(right.fencing() > number, "numbers only rise");
    right.release();
    second.control.stop();
}
