//! Calls to a control instance whose worker waits, as for room on its disk.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use parking_lot::Mutex;
use support::{ControlHandler, name_of};
use tokio::runtime::Handle;
use wheel_control::{AddressResolver, ControlNode, ControlSettings};
use wheel_harness::FreePorts;
use wheel_peer::{PeerAddress, PeerHub, PeerSettings};
use wheel_types::InstanceName;

/// More calls than the worker's queue holds.
const CALLS: usize = 5_000;
const WAIT: Duration = Duration::from_millis(500);

/// Has the worker wait, whenever it sends, while a test holds the lock.
#[derive(Default)]
struct WaitingResolver {
    lock: Mutex<()>,
}

impl AddressResolver for WaitingResolver {
    fn peer_address(&self, _: &InstanceName) -> Option<PeerAddress> {
        drop(self.lock.lock());
        None
    }
}

/// A control instance that sends its first messages to another one, which doesn't run.
fn spawn_control(folder: &std::path::Path, resolver: &Arc<WaitingResolver>) -> ControlNode {
    let mut ports = FreePorts;
    let names: [SocketAddr; 2] = std::array::from_fn(|_| ports.take().expect("a port"));
    let hub = PeerSettings::new("test", name_of(&names[0]), Handle::current()).listen(names[0]);
    let hub = PeerHub::bind(hub, Arc::new(ControlHandler::default())).expect("a listener");
    let settings = ControlSettings {
        instance: name_of(&names[0]),
        voters: names.iter().map(name_of).collect(),
        folder: folder.to_owned(),
        seed: 0,
        start: Instant::now(),
        may_bootstrap: true,
        is_first_folder: false,
        target_voters: Some(2),
        replace_voter_after: Duration::from_secs(3),
    };
    let resolver: Arc<dyn AddressResolver> = Arc::clone(resolver) as _;
    ControlNode::spawn(settings, hub, resolver, Arc::default(), Arc::default())
        .expect("the folder can be used")
}

/// Tasks that follow the group end for good when they are told that the control instance has
/// stopped: a queue that is full for a moment must not look like that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_of_a_busy_worker_with_a_full_queue_comes_later() {
    let folder = tempfile::tempdir().expect("a folder");
    let resolver = Arc::new(WaitingResolver::default());
    let held = resolver.lock.lock();
    let control = spawn_control(folder.path(), &resolver);
    let statuses: Vec<_> = (0..CALLS)
        .map(|_| {
            let control = control.clone();
            tokio::spawn(async move { control.status().await.is_some() })
        })
        .collect();
    std::thread::sleep(WAIT);
    drop(held);
    let answered = join_all(statuses).await.into_iter().filter(|it| matches!(it, Ok(true)));
    assert_eq!(answered.count(), CALLS);
    tokio::task::spawn_blocking(move || control.stop()).await.expect("a stop");
}

/// A stopped control instance is told apart from a busy one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_of_a_stopped_worker_is_none() {
    let folder = tempfile::tempdir().expect("a folder");
    let control = spawn_control(folder.path(), &Arc::default());
    assert!(control.status().await.is_some());
    let stopping = control.clone();
    tokio::task::spawn_blocking(move || stopping.stop()).await.expect("a stop");
    assert!(control.status().await.is_none());
}
