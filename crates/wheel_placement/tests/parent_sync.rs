//! An instance leaves control instances that have lost contact with their group or don't reply.

#![allow(clippy::expect_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use wheel_peer::{PeerChannel, PeerHandler, PeerHub, PeerIdentity, PeerRefusal, PeerSettings};
use wheel_placement::{ParentSync, SyncOutcome, SyncSettings};
use wheel_route::{SyncReply, SyncRequest};
use wheel_types::InstanceName;

/// Time within which a configuration must be known, which bounds the time without a reply.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Replies to each sync with the same age of its contact with the group, until it goes silent.
struct TestControl {
    group_age_ms: u64,
    calls: Arc<AtomicUsize>,
    is_silent: Arc<AtomicBool>,
}

impl PeerHandler for TestControl {
    fn handle(
        &self,
        _: PeerIdentity,
        _: PeerChannel,
        _: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.is_silent.load(Ordering::SeqCst) {
            return std::future::pending().boxed();
        }
        let reply = SyncReply {
            document: None,
            version: 0,
            fleet: None,
            control: Vec::new(),
            group_age_ms: self.group_age_ms,
        };
        async move { Ok(postcard::to_stdvec(&reply).expect("a reply has an encoding")) }.boxed()
    }
}

/// A free loopback address. An instance's name is its address, so it must be known in advance.
fn free_address() -> SocketAddr {
    let probe = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    probe.local_addr().expect("an address")
}

fn bind(group_age_ms: u64) -> (PeerHub, SocketAddr, Arc<AtomicUsize>) {
    let (hub, address, calls, _) = bind_silenceable(group_age_ms);
    (hub, address, calls)
}

/// A control instance with a switch that makes it silent.
fn bind_silenceable(group_age_ms: u64) -> (PeerHub, SocketAddr, Arc<AtomicUsize>, Arc<AtomicBool>) {
    let address = free_address();
    let calls: Arc<AtomicUsize> = Arc::default();
    let name = InstanceName::from(address.to_string().as_str());
    let settings = PeerSettings::new("test", name, Handle::current()).listen(address);
    let is_silent: Arc<AtomicBool> = Arc::default();
    let control =
        TestControl { group_age_ms, calls: Arc::clone(&calls), is_silent: Arc::clone(&is_silent) };
    let hub = PeerHub::bind(settings, Arc::new(control)).expect("loopback can be listened on");
    (hub, address, calls, is_silent)
}

fn request() -> SyncRequest {
    SyncRequest {
        instance: "me".into(),
        is_ingress: true,
        version: 0,
        control: None,
        open_requests: Vec::new(),
        demand: Vec::new(),
        leaving: Vec::new(),
        stale_engines: Vec::new(),
        ingress_count: 1,
        hold_ms: 0,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_leaves_detached_control() {
    let (_detached, detached_address, detached_calls) = bind(60_000);
    let (_healthy, healthy_address, healthy_calls) = bind(0);
    let (own, own_address, _) = bind(0);
    let settings = SyncSettings {
        own: own_address,
        centre: "here".into(),
        interval: Duration::from_millis(10),
    };
    let sync = ParentSync::open(settings, own, &[detached_address]);
    let replies: Arc<AtomicUsize> = Arc::default();
    let counted = Arc::clone(&replies);
    let take = move |outcome: SyncOutcome| {
        if matches!(outcome, SyncOutcome::Replied(_)) {
            counted.fetch_add(1, Ordering::SeqCst);
        }
    };
    let running = tokio::spawn(Arc::clone(&sync).run(request, take, std::future::pending));
    // Only the detached instance is known at first, so it is certain to be called.
    wait_for(&replies, 1).await;
    sync.add_seeds(&[healthy_address]);
    wait_for(&healthy_calls, 1).await;
    let before = detached_calls.load(Ordering::SeqCst);
    let received = replies.load(Ordering::SeqCst);
    wait_for(&replies, received + 30).await;
    running.abort();
    assert_eq!(
        detached_calls.load(Ordering::SeqCst),
        before,
        "it isn't called again while another one replies"
    );
}

/// The parent goes silent together with others that are tried next, as in the loss of a data
/// centre. All instances that sync must hear from the one that is left within the time in which a
/// configuration must be known, whatever the order in which they try.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn run_silent_controls_in_a_row_cost_less_than_a_configuration_may_take() {
    let lost: Vec<_> = (0..4).map(|_| bind_silenceable(0)).collect();
    let (_left, left_address, _) = bind(0);
    let lost_addresses: Vec<SocketAddr> = lost.iter().map(|(_, address, ..)| *address).collect();
    let children: Vec<_> = (0..12)
        .map(|_| {
            let (own, own_address, _) = bind(0);
            let settings = SyncSettings {
                own: own_address,
                centre: "here".into(),
                interval: Duration::from_millis(200),
            };
            let sync = ParentSync::open(settings, own, &lost_addresses);
            let replies: Arc<Mutex<Vec<Instant>>> = Arc::default();
            let recorded = Arc::clone(&replies);
            let take = move |outcome: SyncOutcome| {
                if matches!(outcome, SyncOutcome::Replied(_)) {
                    recorded.lock().push(Instant::now());
                }
            };
            let running = tokio::spawn(Arc::clone(&sync).run(request, take, std::future::pending));
            (sync, replies, running)
        })
        .collect();
    // All have a parent among those that will be lost.
    tokio::time::sleep(Duration::from_millis(700)).await;
    for (sync, ..) in &children {
        sync.add_seeds(&[left_address]);
    }
    lost.iter().for_each(|(.., is_silent)| is_silent.store(true, Ordering::SeqCst));
    tokio::time::sleep(APPLY_LIMIT * 2).await;
    let longest_gap = |replies: &Mutex<Vec<Instant>>| {
        let mut times = replies.lock().clone();
        times.push(Instant::now());
        times.windows(2).map(|pair| pair[1] - pair[0]).max().expect("replies")
    };
    let gaps: Vec<Duration> = children.iter().map(|(_, replies, _)| longest_gap(replies)).collect();
    children.iter().for_each(|(.., running)| running.abort());
    assert!(gaps.iter().all(|gap| *gap < APPLY_LIMIT), "{gaps:?}");
}

/// Waits until a counter has reached `count`, for at most ten seconds.
async fn wait_for(counter: &AtomicUsize, count: usize) {
    let reached = async {
        while counter.load(Ordering::SeqCst) < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), reached).await.expect("the counter rises");
}
