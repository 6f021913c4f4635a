//! Configurations are accepted by the group even if the operator abandons the call, and the
//! authority to send orders waits for a predecessor.

#![allow(clippy::expect_used)]

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use support::NoHandler;
use tokio::runtime::Handle;
use wheel_control::{
    AddressResolver, ControlNode, ControlSettings, DocumentState, GroupClient, ManifestState,
};
use wheel_peer::{PeerAddress, PeerHub, PeerSettings};
use wheel_placement::{AuthorityTimes, ConfigDialect, ConfigService, OrderAuthority, PutOutcome};
use wheel_route::{ConfigError, FleetConfig};
use wheel_types::InstanceName;

/// Documents consist of a version number only.
struct NumberDialect;

impl ConfigDialect for NumberDialect {
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, ConfigError> {
        let text = std::str::from_utf8(bytes).unwrap_or_default();
        let version = text.trim().parse();
        let version = version.map_err(|error: std::num::ParseIntError| {
            ConfigError::Unreadable { reason: error.to_string() }
        })?;
        Ok(FleetConfig { version, ..FleetConfig::default() })
    }
}

struct NoAddresses;

impl AddressResolver for NoAddresses {
    fn peer_address(&self, _: &InstanceName) -> Option<PeerAddress> {
        None
    }
}

/// A group with a single instance.
struct TestGroup {
    control: ControlNode,
    documents: Arc<DocumentState>,
    service: Arc<ConfigService>,
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
        is_first_folder: may_bootstrap,
        target_voters: Some(1),
        replace_voter_after: Duration::from_secs(3),
    };
    let documents: Arc<DocumentState> = Arc::default();
    let manifest: Arc<ManifestState> = Arc::default();
    let addresses: Arc<dyn AddressResolver> = Arc::new(NoAddresses);
    let control = ControlNode::spawn(
        settings,
        hub.clone(),
        addresses.clone(),
        manifest,
        Arc::clone(&documents),
    )
    .expect("the folder can be used");
    let group = GroupClient::new(hub, addresses, Some(control.clone()), &[name]);
    let service =
        Arc::new(ConfigService::new(group, Arc::clone(&documents), Arc::new(NumberDialect)));
    TestGroup { control, documents, service }
}

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn put_continues_after_an_abandoned_call() {
    let folder = tempfile::tempdir().expect("a folder");
    let group = open_group(folder.path(), true);
    let mut committed = group.documents.subscribe();
    // Abandoned before the group has even a leader.
    let call = tokio::spawn(Arc::clone(&group.service).put(bytes("4")));
    tokio::time::sleep(Duration::from_millis(20)).await;
    call.abort();
    let changed = tokio::time::timeout(Duration::from_secs(10), committed.changed()).await;
    changed.expect("the configuration is committed anyway").expect("the state stays");
    assert_eq!(group.documents.version(), 4);
    assert_eq!(Arc::clone(&group.service).put(bytes("4")).await, PutOutcome::Accepted, "a retry");
    assert_eq!(
        Arc::clone(&group.service).put(bytes("3")).await,
        PutOutcome::Accepted,
        "an older version"
    );
    let invalid = Arc::clone(&group.service).put(bytes("none")).await;
    assert!(matches!(invalid, PutOutcome::Invalid(_)));
    let read =
        group.service.read().await.expect("the leader confirms the read").expect("a configuration");
    assert_eq!((read.version, &*read.bytes), (4, b"4".as_slice()));
    group.control.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_folder_forms_no_second_group() {
    // After the first start, an instance with an empty folder belongs to an existing group and
    // waits until that group adds it.
    let folder = tempfile::tempdir().expect("a folder");
    let group = open_group(folder.path(), false);
    let outcome = Arc::clone(&group.service).put(bytes("1")).await;
    let PutOutcome::Unresolved { reason } = outcome else { panic!("{outcome:?}") };
    assert!(reason.contains("waits for a group to join"), "{reason}");
    assert!(group.service.read().await.is_err(), "a read without a group isn't confirmed");
    group.control.stop();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn authority_waits_for_a_predecessor() {
    let folder = tempfile::tempdir().expect("a folder");
    let times =
        AuthorityTimes { validity: Duration::from_millis(600), pause: Duration::from_millis(400) };
    let first = open_group(folder.path(), true);
    let authority = OrderAuthority::spawn(times, first.control.clone(), Arc::default());
    while authority.fencing().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let number = authority.fencing();
    assert_eq!(number, Some(1), "the first term has no predecessor");
    first.control.stop();
    // The same instance after a restart can't know whether another one sent orders meanwhile.
    let second = open_group(folder.path(), true);
    let authority = OrderAuthority::spawn(times, second.control.clone(), Arc::default());
    while authority.leading_term().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let began = Instant::now();
    assert_eq!(authority.fencing(), None);
    while authority.fencing().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(began.elapsed() >= Duration::from_millis(900), "{:?}", began.elapsed());
    assert!(authority.fencing() > number, "fencing numbers only increase");
    authority.release();
    second.control.stop();
}
