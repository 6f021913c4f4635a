//! Connections that go silent while new ones work.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use support::{LONG, TestHandler, bind, quick_limits, settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use wheel_peer::{PeerAddress, PeerChannel, PeerError, PeerHub, PeerLimits};

/// Forwards connections; the first ones, up to a set number, discard what they read.
struct TestRelay {
    address: SocketAddr,
    muted_calls: Arc<AtomicUsize>,
    muted_answers: Arc<AtomicUsize>,
}

impl TestRelay {
    async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let muted_calls = Arc::new(AtomicUsize::new(0));
        let muted_answers = Arc::new(AtomicUsize::new(0));
        let (calls, answers) = (muted_calls.clone(), muted_answers.clone());
        tokio::spawn(async move {
            for number in 0.. {
                let (near, _) = listener.accept().await.unwrap();
                let far = TcpStream::connect(target).await.unwrap();
                let (near_reader, near_writer) = near.into_split();
                let (far_reader, far_writer) = far.into_split();
                tokio::spawn(forward(near_reader, far_writer, number, calls.clone()));
                tokio::spawn(forward(far_reader, near_writer, number, answers.clone()));
            }
        });
        Self { address, muted_calls, muted_answers }
    }

    /// Silences the first `count` connections in both directions.
    fn mute(&self, count: usize) {
        self.mute_calls(count);
        self.muted_answers.store(count, Ordering::SeqCst);
    }

    /// Silences the first `count` connections towards the server only.
    fn mute_calls(&self, count: usize) {
        self.muted_calls.store(count, Ordering::SeqCst);
    }
}

async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    number: usize,
    muted: Arc<AtomicUsize>,
) {
    let mut buffer = [0; 4096];
    while let Ok(bytes @ 1..) = reader.read(&mut buffer).await {
        let silent = number < muted.load(Ordering::SeqCst);
        if !silent && writer.write_all(&buffer[..bytes]).await.is_err() {
            break;
        }
    }
}

async fn call_peer(
    client: &PeerHub,
    peer: &PeerAddress,
    body: &[u8],
) -> Result<Vec<u8>, PeerError> {
    client.call(peer, PeerChannel::Lease, body.to_vec(), LONG).await
}

/// A client, a server and the relay between them, after a first call; the caller keeps the server
/// alive.
async fn relayed(limits: PeerLimits) -> (PeerHub, PeerHub, TestRelay, PeerAddress) {
    relayed_to(bind(settings("isan-b1")), limits).await
}

async fn relayed_to(
    server: PeerHub,
    limits: PeerLimits,
) -> (PeerHub, PeerHub, TestRelay, PeerAddress) {
    let client = bind(settings("isan-a1").limits(limits));
    let relay = TestRelay::bind(server.local_addr()).await;
    let peer = PeerAddress::new("isan-b1".into(), relay.address);
    assert_eq!(call_peer(&client, &peer, b"first").await, Ok(b"first".to_vec()));
    (client, server, relay, peer)
}

#[tokio::test]
async fn call_silent_connection_replaced() {
    let (client, _server, relay, peer) = relayed(quick_limits()).await;
    relay.mute(1);
    // The call fails long before its own limit and isn't sent again.
    assert_eq!(call_peer(&client, &peer, b"swallowed").await, Err(PeerError::Lost { sent: true }));
    assert_eq!(call_peer(&client, &peer, b"fresh").await, Ok(b"fresh".to_vec()));
    assert_eq!((client.counters().retired, client.counters().opened), (1, 2));
}

/// Makes a call that times out soon, after which the connection must be replaced.
async fn abandon_call(client: &PeerHub, peer: &PeerAddress) {
    let short = quick_limits().silence_timeout / 5;
    loop {
        match client.call(peer, PeerChannel::Lease, b"beat".to_vec(), short).await {
            Err(PeerError::TimedOut { sent: true }) => return,
            // A slow machine didn't send it in time.
            Err(PeerError::TimedOut { sent: false }) => {}
            other => panic!("{other:?}"),
        }
    }
}

async fn wait_replaced(client: &PeerHub) {
    let replaced = async {
        while client.counters().retired == 0 {
            tokio::time::sleep(quick_limits().silence_timeout / 5).await;
        }
    };
    tokio::time::timeout(LONG, replaced).await.unwrap();
    assert_eq!(client.counters().opened, 2);
}

#[tokio::test]
async fn call_short_on_silent_connection_replaced_without_further_calls() {
    let (client, _server, relay, peer) = relayed(quick_limits()).await;
    relay.mute(1);
    abandon_call(&client, &peer).await;
    wait_replaced(&client).await;
}

#[tokio::test]
async fn call_short_on_silent_connection_replaced_despite_an_older_answer() {
    let handler = Arc::new(TestHandler::default());
    let held = handler.held.clone();
    let server = PeerHub::bind(settings("isan-b1"), handler).unwrap();
    let (client, _server, relay, peer) = relayed_to(server, quick_limits()).await;
    let short = async {
        held.begun.acquire().await.unwrap().forget();
        relay.mute_calls(1);
        abandon_call(&client, &peer).await;
        // By now a probe is in flight; the older answer must not count as its answer.
        tokio::time::sleep(3 * quick_limits().silence_timeout).await;
        held.release.add_permits(1);
    };
    let (older, ()) = tokio::join!(call_peer(&client, &peer, b"hold"), short);
    assert_eq!(older, Ok(b"held".to_vec()));
    wait_replaced(&client).await;
}

#[tokio::test]
async fn call_idle_connection_probed_before_reuse() {
    let limits = PeerLimits { idle_probe: Duration::ZERO, ..quick_limits() };
    let (client, _server, relay, peer) = relayed(limits).await;
    relay.mute(1);
    // The probe detects the silence, so that the call itself isn't lost.
    assert_eq!(call_peer(&client, &peer, b"kept").await, Ok(b"kept".to_vec()));
    assert_eq!((client.counters().retired, client.counters().opened), (1, 2));
}

#[tokio::test]
async fn call_long_handler_on_live_connection_kept() {
    let handler = Arc::new(TestHandler::default());
    let held = handler.held.clone();
    let server = PeerHub::bind(settings("isan-b1"), handler).unwrap();
    let client = bind(settings("isan-a1"));
    let peer = support::address_of(&server, "isan-b1");
    let release = async {
        held.begun.acquire().await.unwrap().forget();
        // Several times the period of silence after which a connection is probed.
        tokio::time::sleep(6 * quick_limits().silence_timeout).await;
        held.release.add_permits(1);
    };
    let (answer, ()) = tokio::join!(call_peer(&client, &peer, b"hold"), release);
    assert_eq!(answer, Ok(b"held".to_vec()));
    assert_eq!((client.counters().retired, client.counters().opened), (0, 1));
}
