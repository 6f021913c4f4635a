//! The last manifest in a data folder, read at a start while no other instance is reached.
//!
//! A text with the newest revision and hash is replaced by nobody. If some of its bytes are others than those
//! that were written, as after a loss of power, the instance would serve by them until the next change.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::runtime::Handle;
use tokio::time::Instant;
use wheel_agreement::{AcceptedManifest, ManifestUpdate, encode};
use wheel_control::{
    AddressResolver, FollowerSettings, ManifestFollower, ManifestReply, ManifestState,
    ParentSelector,
};
use wheel_peer::{
    PeerAddress, PeerChannel, PeerHandler, PeerHub, PeerIdentity, PeerRefusal, PeerSettings,
};
use wheel_types::{InstanceName, ManifestRevision};

const TEXT: &str = include_str!("../../../examples/minimal.toml");
const LIMIT: Duration = Duration::from_secs(20);
/// Distance of the bytes that are changed, one after another, so that the test starts few instances.
const POSITIONS_STEP: usize = 31;

/// Answers each poll with the text.
struct Parent;

impl PeerHandler for Parent {
    fn handle(
        &self,
        _: PeerIdentity,
        _: PeerChannel,
        _: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        let start = AcceptedManifest::default();
        let manifest = AcceptedManifest {
            revision: ManifestRevision(7),
            hash: start.hash.chain(TEXT),
            source: TEXT.into(),
        };
        let reply = ManifestReply { update: ManifestUpdate::Snapshot(manifest), parent: None };
        let reply = encode(&reply).map_err(|_| PeerRefusal::new("no encoding"));
        std::future::ready(reply).boxed()
    }
}

/// The instances to poll, with their address.
struct Parents(Vec<InstanceName>, SocketAddr);

impl ParentSelector for Parents {
    fn parents(&self) -> Vec<InstanceName> {
        self.0.clone()
    }
}

impl AddressResolver for Parents {
    fn peer_address(&self, instance: &InstanceName) -> Option<PeerAddress> {
        Some(PeerAddress::new(instance.clone(), self.1))
    }
}

fn bind(name: &str) -> PeerHub {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = PeerSettings::new("test", name.into(), Handle::current()).listen(any_port);
    PeerHub::bind(settings, Arc::new(Parent)).expect("loopback can be listened on")
}

/// The manifest of an instance that starts with `folder`, once it holds `revision` or after a while.
async fn start(folder: &Path, parent: Option<&PeerHub>, revision: u64) -> AcceptedManifest {
    let manifest = Arc::<ManifestState>::default();
    let hub = bind("i1");
    let names = parent.map(|_| InstanceName::from("c1")).into_iter().collect();
    let address = parent.map_or(hub.local_addr(), PeerHub::local_addr);
    let parents = Arc::new(Parents(names, address));
    let settings = FollowerSettings { instance: "i1".into(), folder: Some(folder.to_owned()) };
    let resolver = Arc::clone(&parents);
    let stopped = ManifestFollower::spawn(settings, hub, resolver, parents, Arc::clone(&manifest));
    let deadline = Instant::now() + if parent.is_some() { LIMIT } else { Duration::ZERO };
    let file = folder.join("text-cache");
    while Instant::now() < deadline
        && (manifest.accepted().revision.0 != revision || !file.is_file())
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stopped.cancel();
    manifest.accepted()
}

#[tokio::test(flavor = "multi_thread")]
async fn cached_text_with_other_bytes_than_were_written_isnt_used() {
    let folder = tempfile::tempdir().expect("a folder");
    let parent = bind("c1");
    assert_eq!(start(folder.path(), Some(&parent), 7).await.source.as_ref(), TEXT);
    let file = folder.path().join("text-cache");
    let whole = std::fs::read(&file).expect("a cache");
    let kept = start(folder.path(), None, 7).await;
    assert_eq!((kept.revision.0, kept.source.as_ref()), (7, TEXT), "a sound cache is used");
    for position in (0..whole.len()).step_by(POSITIONS_STEP) {
        let mut torn = whole.clone();
        torn[position] ^= 1;
        std::fs::write(&file, torn).expect("a written file");
        let held = start(folder.path(), None, 7).await;
        assert_eq!(held, AcceptedManifest::default(), "byte {position} of {}", whole.len());
    }
}
