//! All control instances have been down. When they are back, everyone who depends on the group
//! connects to each of them, again and again: far more than a control instance serves. The group
//! must still elect a leader; without one, nobody who calls gets an answer that lets it stop.

#![allow(clippy::expect_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use support::{ControlHandler, name_of, spawn_control};
use tokio::runtime::Handle;
use tokio::task::JoinSet;
use wheel_agreement::RoleName;
use wheel_harness::FreePorts;
use wheel_peer::{
    AdmissionLimits, PeerAddress, PeerChannel, PeerHub, PeerLimits, PeerRefusal, PeerSettings,
};

/// Time within which the group must have a leader.
const ELECTION_LIMIT: Duration = Duration::from_secs(2);
/// Instances that depend on the group, and how many of them a control instance serves.
const GUESTS: usize = 60;
const SERVED_GUESTS: usize = 12;
/// Time between two calls of an instance that depends on the group.
const CALL_PAUSE: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Refuses all calls.
struct NoHandler;

impl wheel_peer::PeerHandler for NoHandler {
    fn handle(
        &self,
        _: wheel_peer::PeerIdentity,
        _: PeerChannel,
        _: Vec<u8>,
    ) -> futures_util::future::BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        Box::pin(std::future::ready(Err(PeerRefusal::new("nothing is served here"))))
    }
}

fn bind_control(name: SocketAddr, handler: ControlHandler) -> PeerHub {
    let admission = AdmissionLimits {
        max_entering: SERVED_GUESTS,
        max_guests: SERVED_GUESTS,
        ..PeerLimits::default().admission
    };
    let settings = PeerSettings::new("test", name_of(&name), Handle::current())
        .listen(name)
        .limits(PeerLimits { admission, ..PeerLimits::default() });
    PeerHub::bind(settings, Arc::new(handler)).expect("loopback can be listened on")
}

/// Calls all control instances in turn, for ever.
async fn run_guest(index: usize, names: Vec<SocketAddr>) {
    let name = format!("guest-{index}");
    let settings = PeerSettings::new("test", name.as_str().into(), Handle::current());
    let hub = PeerHub::bind(settings, Arc::new(NoHandler)).expect("loopback can be listened on");
    for name in names.iter().cycle() {
        let address = PeerAddress::new(name_of(name), *name);
        let _ = hub.call(&address, PeerChannel::Report, Vec::new(), CALL_LIMIT).await;
        tokio::time::sleep(CALL_PAUSE).await;
    }
}

async fn wait_until(limit: Duration, mut is_met: impl AsyncFnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if is_met().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn election_ends_while_more_instances_call_than_are_served() {
    let names: Vec<SocketAddr> = (0..3).map(|_| FreePorts.take().expect("a free port")).collect();
    let handlers: Vec<ControlHandler> = names.iter().map(|_| ControlHandler::default()).collect();
    let bind =
        |(name, handler): (&SocketAddr, &ControlHandler)| bind_control(*name, handler.clone());
    let hubs: Vec<PeerHub> = names.iter().zip(&handlers).map(bind).collect();
    let mut guests = JoinSet::new();
    (0..GUESTS).for_each(|index| drop(guests.spawn(run_guest(index, names.clone()))));
    let is_crowded = async || {
        let counters = hubs.iter().map(|hub| hub.counters());
        counters.into_iter().all(|counters| {
            counters.accepted >= SERVED_GUESTS as u64
                && counters.accepted + counters.rejected >= GUESTS as u64
        })
    };
    assert!(wait_until(Duration::from_secs(10), is_crowded).await, "the instances don't call");
    let folder = tempfile::tempdir().expect("a folder");
    let mut controls = Vec::new();
    for (index, (hub, handler)) in hubs.iter().zip(&handlers).enumerate() {
        let folder = folder.path().join(index.to_string());
        let control = spawn_control(index, &names, hub, &folder, &Arc::default());
        handler.set(control.clone());
        controls.push(control);
    }
    let has_leader = async || {
        for control in &controls {
            let status = control.status().await.expect("it runs");
            if status.role == RoleName::Leader {
                return true;
            }
        }
        false
    };
    let is_elected = wait_until(ELECTION_LIMIT, has_leader).await;
    let counters: Vec<_> = hubs.iter().map(|hub| hub.counters()).collect();
    assert!(is_elected, "no leader within {ELECTION_LIMIT:?}: {counters:?}");
}
