//! Peers that send invalid data, use another protocol version, or send nothing.

#![allow(clippy::unwrap_used)]

mod support;
#[path = "../src/peer_capnp.rs"]
#[allow(clippy::all, clippy::restriction, clippy::pedantic, dead_code, missing_docs, unreachable_pub)]
#[rustfmt::skip]
mod peer_capnp;

use std::rc::Rc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use futures_util::future::join_all;
use peer_capnp::{gate, greet_answer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{LONG, address_of, bind, quick_limits, settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use wheel_peer::{AdmissionLimits, PeerAddress, PeerChannel, PeerError, PeerHub, PeerLimits};

/// Number of randomly damaged greetings, and how many of them are sent at once.
const DAMAGED_GREETINGS: u64 = 960;
const AT_ONCE: u64 = 240;

/// A protocol version that this instance doesn't support.
const OTHER_VERSION: u32 = 2;

fn raw_system(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<Side> {
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(reader.compat(), writer.compat_write(), side, Default::default());
    RpcSystem::new(Box::new(network), bootstrap)
}

async fn check_alive(server: &PeerHub) {
    let client = bind(settings("isan-a1"));
    let peer = address_of(server, "isan-b1");
    let answer = client.call(&peer, PeerChannel::Admin, b"alive".to_vec(), LONG).await;
    assert_eq!(answer, Ok(b"alive".to_vec()));
}

/// Writes `bytes` and waits until the server closes the connection.
async fn send_invalid(server: &PeerHub, bytes: &[u8]) {
    let mut stream = TcpStream::connect(server.local_addr()).await.unwrap();
    let _refused = stream.write_all(bytes).await;
    let closed = tokio::time::timeout(LONG, stream.read_to_end(&mut Vec::new())).await;
    assert!(closed.is_ok(), "the connection stays open after {bytes:.4?}");
}

/// Waits until the server has counted the connections that it rejected.
async fn wait_rejected(server: &PeerHub, expected: u64) {
    let counted = async {
        while server.counters().rejected < expected {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LONG, counted).await.unwrap();
    assert_eq!(server.counters().rejected, expected);
}

#[tokio::test]
async fn accept_invalid_bytes_drops_connection() {
    let server = bind(settings("isan-b1"));
    let noise: Vec<u8> =
        (0..200_000u32).map(|n| (n.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    // Text, noise, one huge segment, half a message, endless empty messages.
    let huge = [0, 0, 0, 0, 255, 255, 255, 127];
    let half = [0, 0, 0, 0, 4, 0, 0, 0, 1];
    let empty = vec![0; 1 << 20];
    let samples: [&[u8]; 5] = [b"GET / HTTP/1.1\r\n\r\n", &noise, &huge, &half, &empty];
    join_all(samples.map(|bytes| send_invalid(&server, bytes))).await;
    wait_rejected(&server, 5).await;
    assert!(server.counters().wire_received < 100_000, "{:?}", server.counters());
    check_alive(&server).await;
}

/// The first bytes that a client sends: the bootstrap and its greeting.
async fn record_greeting() -> Vec<u8> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = PeerAddress::new("isan-b1".into(), listener.local_addr().unwrap());
    let client = bind(settings("isan-a1"));
    let call =
        client.call(&peer, PeerChannel::Manifest, Vec::new(), quick_limits().handshake_timeout);
    let record = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = vec![0; 4_096];
        let mut end = 0;
        // The greeting is the message that names the instance.
        while !bytes.windows(7).any(|window| window == b"isan-a1") {
            end += stream.read(&mut bytes[end..]).await.unwrap();
        }
        bytes.truncate(end);
        bytes
    };
    tokio::join!(call, record).1
}

#[tokio::test]
async fn accept_damaged_greetings_survives() {
    let limits = PeerLimits { handshake_timeout: Duration::from_millis(800), ..quick_limits() };
    let server = bind(settings("isan-b1").limits(limits));
    let greeting = record_greeting().await;
    let mut random = StdRng::seed_from_u64(11);
    for _ in 0..DAMAGED_GREETINGS / AT_ONCE {
        let damaged = (0..AT_ONCE).map(|_| damage(&greeting, &mut random)).collect::<Vec<_>>();
        join_all(damaged.iter().map(|bytes| send_invalid(&server, bytes))).await;
    }
    wait_rejected(&server, DAMAGED_GREETINGS).await;
    check_alive(&server).await;
}

/// Sets up to eight random bytes, half the time all within the first words of a message.
fn damage(greeting: &[u8], random: &mut StdRng) -> Vec<u8> {
    let mut bytes = greeting.to_vec();
    let end = if random.random() { bytes.len() } else { bytes.len().min(64) };
    for _ in 0..random.random_range(1..=8) {
        bytes[random.random_range(0..end)] = random.random();
    }
    bytes
}

#[tokio::test]
async fn accept_beyond_limit_rejects_then_recovers() {
    let admission = AdmissionLimits { max_entering: 2, ..quick_limits().admission };
    let limits = PeerLimits { admission, ..quick_limits() };
    let server = bind(settings("isan-b1").limits(limits));
    let idle = (0..3).map(|_| send_invalid(&server, b""));
    join_all(idle).await;
    wait_rejected(&server, 3).await;
    check_alive(&server).await;
}

/// Sends up to `times` greetings with an unsupported version; returns the versions in the answers.
async fn greet_raw(server: &PeerHub, times: usize) -> Vec<u32> {
    let address = server.local_addr();
    let greets = async move {
        let stream = TcpStream::connect(address).await.unwrap();
        let mut system = raw_system(stream, Side::Client, None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        spawn_local(system);
        let mut versions = Vec::new();
        while versions.len() < times {
            let mut request = gate.greet_request();
            request.get().init_hello().set_protocol(OTHER_VERSION);
            let Ok(response) = request.send().promise.await else { break };
            match response.get().unwrap().get_answer().unwrap().which().unwrap() {
                greet_answer::WrongVersion(version) => versions.push(version),
                _ => panic!("not refused"),
            }
        }
        versions
    };
    LocalSet::new().run_until(greets).await
}

#[tokio::test]
async fn greet_other_version_refused() {
    let server = bind(settings("isan-b1"));
    assert_eq!(greet_raw(&server, 1).await, [wheel_peer::PROTOCOL_VERSION]);
    check_alive(&server).await;
}

#[tokio::test]
async fn greet_repeatedly_drops_connection() {
    let limits = PeerLimits { handshake_timeout: LONG, ..quick_limits() };
    let server = bind(settings("isan-b1").limits(limits));
    let answers = greet_raw(&server, 1_000).await.len();
    assert!(answers < 200, "{answers} greetings were answered");
    wait_rejected(&server, 1).await;
}

/// A server of another version, or one that doesn't know the secret and admits every client.
#[derive(Clone, Copy)]
enum FakeGate {
    OtherVersion,
    NoSecret,
}

impl gate::Server for FakeGate {
    async fn greet(
        self: Rc<Self>,
        _: gate::GreetParams,
        mut results: gate::GreetResults,
    ) -> Result<(), capnp::Error> {
        let mut answer = results.get().init_answer();
        if matches!(*self, Self::OtherVersion) {
            answer.set_wrong_version(OTHER_VERSION);
            return Ok(());
        }
        let mut hello = answer.init_welcome();
        hello.set_protocol(wheel_peer::PROTOCOL_VERSION);
        hello.set_group(support::group());
        hello.set_instance("isan-b1");
        hello.set_challenge(&[7; 32]);
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), capnp::Error> {
        // Sends the client's own proof back: the proof of one side isn't valid for the other.
        let echo = params.get()?.get_proof()?;
        results.get().init_answer().init_entered().set_proof(echo);
        Ok(())
    }
}

/// The outcome of a call to a fake server.
async fn call_fake(fake: FakeGate) -> Result<Vec<u8>, PeerError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = PeerAddress::new("isan-b1".into(), listener.local_addr().unwrap());
    let outcome = async move {
        spawn_local(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let gate: gate::Client = new_client(fake);
            raw_system(stream, Side::Server, Some(gate.client)).await
        });
        let client = bind(settings("isan-a1"));
        client.call(&peer, PeerChannel::Manifest, Vec::new(), LONG).await
    };
    LocalSet::new().run_until(outcome).await
}

#[tokio::test]
async fn call_other_version_refused() {
    let expected = Err(PeerError::WrongVersion { theirs: OTHER_VERSION });
    assert_eq!(call_fake(FakeGate::OtherVersion).await, expected);
}

#[tokio::test]
async fn call_server_without_secret_refused() {
    assert_eq!(call_fake(FakeGate::NoSecret).await, Err(PeerError::WrongSecret));
}

#[tokio::test]
async fn call_dead_address_fails_at_once_until_retry_is_due() {
    // A reserved port on which nothing listens, so that no other test can bind it.
    let peer = PeerAddress::new("isan-b1".into(), "127.0.0.1:1".parse().unwrap());
    let backoff = Duration::from_secs(3_600);
    let limits = PeerLimits { backoff, backoff_max: backoff, ..quick_limits() };
    let client = bind(settings("isan-a1").limits(limits));
    for _ in 0..3 {
        let outcome = client.call(&peer, PeerChannel::Manifest, Vec::new(), LONG).await;
        assert!(matches!(outcome, Err(PeerError::Unreachable { .. })), "{outcome:?}");
        assert!(!outcome.unwrap_err().may_have_run());
    }
    assert_eq!(client.counters().channels[PeerChannel::Manifest.index()].calls_failed, 3);
}
