//! Calls, refusals and limits between two hubs.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use support::{LONG, TestHandler, address_of, bind, quick_limits, settings};
use wheel_peer::{
    PeerAddress, PeerChannel, PeerError, PeerHub, PeerLimits, PeerSecret, PeerSettings,
};

async fn call_peer(
    client: &PeerHub,
    peer: &PeerAddress,
    body: &[u8],
) -> Result<Vec<u8>, PeerError> {
    client.call(peer, PeerChannel::Manifest, body.to_vec(), LONG).await
}

/// Calls a server with `theirs` from a client with `ours`.
async fn call_between(ours: PeerSettings, theirs: PeerSettings) -> Result<Vec<u8>, PeerError> {
    let name = theirs.instance.to_string();
    let server = bind(theirs);
    call_peer(&bind(ours), &address_of(&server, &name), b"who").await
}

#[tokio::test]
async fn call_known_peer_names_the_caller() {
    assert_eq!(
        call_between(settings("isan-a1"), settings("isan-b1")).await,
        Ok(b"isan-a1".to_vec())
    );
}

#[tokio::test]
async fn call_wrong_secret_refused() {
    let theirs = settings("isan-b1").secret(PeerSecret::new(*b"another"));
    assert_eq!(call_between(settings("isan-a1"), theirs).await, Err(PeerError::WrongSecret));
    let mut theirs = settings("isan-b1");
    theirs.secret = None;
    assert_eq!(call_between(settings("isan-a1"), theirs).await, Err(PeerError::WrongSecret));
}

#[tokio::test]
async fn call_wrong_group_refused() {
    let mut theirs = settings("isan-b1");
    theirs.group = "pt-norte".into();
    let expected = PeerError::WrongGroup { theirs: "pt-norte".to_owned() };
    assert_eq!(call_between(settings("isan-a1"), theirs).await, Err(expected));
}

#[tokio::test]
async fn call_wrong_instance_refused() {
    let server = bind(settings("isan-b2"));
    let outcome =
        call_peer(&bind(settings("isan-a1")), &address_of(&server, "isan-b1"), b"who").await;
    let expected = PeerError::WrongInstance { expected: "isan-b1".into(), found: "isan-b2".into() };
    assert_eq!(outcome, Err(expected));
}

#[tokio::test]
async fn bind_without_secret_only_loopback() {
    let mut open = settings("isan-a1").listen("0.0.0.0:0".parse().unwrap());
    open.secret = None;
    let outcome = PeerHub::bind(open, Arc::new(TestHandler::default()));
    assert!(matches!(outcome, Err(PeerError::NoSecret { .. })), "{outcome:?}");
}

#[tokio::test]
async fn call_handler_error_returns_reason() {
    let server = bind(settings("isan-b1"));
    let client = bind(settings("isan-a1"));
    let peer = address_of(&server, "isan-b1");
    let refused = PeerError::Refused { reason: "not today".to_owned() };
    assert_eq!(call_peer(&client, &peer, b"refuse").await, Err(refused));
    assert_eq!(call_peer(&client, &peer, b"panic").await, Err(PeerError::HandlerFailed));
    assert_eq!(call_peer(&client, &peer, b"after").await, Ok(b"after".to_vec()));
}

#[tokio::test]
async fn call_large_bodies_both_ways_with_small_ones() {
    let server = bind(settings("isan-b1"));
    let client = bind(settings("isan-a1"));
    let peer = address_of(&server, "isan-b1");
    let large: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let calls = (0..8).map(|_| call_peer(&client, &peer, &large));
    let (answers, small) = tokio::join!(join_all(calls), call_peer(&client, &peer, b"small"));
    assert_eq!(small, Ok(b"small".to_vec()));
    assert!(answers.iter().all(|answer| answer.as_deref() == Ok(large.as_slice())));
    let over = vec![0; PeerLimits::default().max_body_bytes + 1];
    assert!(matches!(call_peer(&client, &peer, &over).await, Err(PeerError::TooLarge { .. })));
    let counters = client.counters();
    assert_eq!(counters.opened, 1);
    assert_eq!(counters.channels[PeerChannel::Manifest.index()].bytes_sent, 24_000_005);
}

#[tokio::test]
async fn call_slow_handler_times_out_as_sent() {
    let server = bind(settings("isan-b1"));
    let client = bind(settings("isan-a1"));
    let peer = address_of(&server, "isan-b1");
    let limit = Duration::from_millis(400);
    let outcome = client.call(&peer, PeerChannel::Claim, b"hold".to_vec(), limit).await;
    assert_eq!(outcome, Err(PeerError::TimedOut { sent: true }));
    assert_eq!(client.counters().retired, 0, "a slow handler isn't a silent connection");
}

#[tokio::test]
async fn call_full_server_refuses() {
    let handler = Arc::new(TestHandler::default());
    let held = handler.held.clone();
    let limits = PeerLimits { max_handled: 1, ..quick_limits() };
    let server = PeerHub::bind(settings("isan-b1").limits(limits), handler).unwrap();
    let client = bind(settings("isan-a1"));
    let peer = address_of(&server, "isan-b1");
    let first = call_peer(&client, &peer, b"hold");
    let second = async {
        held.begun.acquire().await.unwrap().forget();
        let outcome = call_peer(&client, &peer, b"more").await;
        held.release.add_permits(1);
        outcome
    };
    let (first, second) = tokio::join!(first, second);
    assert_eq!(second, Err(PeerError::Overloaded));
    assert_eq!(first, Ok(b"held".to_vec()));
}

#[tokio::test]
async fn shutdown_finishes_calls_in_progress() {
    let handler = Arc::new(TestHandler::default());
    let held = handler.held.clone();
    let server = PeerHub::bind(settings("isan-b1"), handler).unwrap();
    let client = bind(settings("isan-a1"));
    let peer = address_of(&server, "isan-b1");
    let stop = async {
        held.begun.acquire().await.unwrap().forget();
        let ending = server.shutdown();
        let late = async {
            let outcome = loop {
                match call_peer(&client, &peer, b"late").await {
                    Ok(_) => tokio::task::yield_now().await,
                    Err(error) => break error,
                }
            };
            held.release.add_permits(1);
            outcome
        };
        tokio::join!(ending, late).1
    };
    let (answer, late) = tokio::join!(call_peer(&client, &peer, b"hold"), stop);
    assert_eq!(answer, Ok(b"held".to_vec()));
    assert_eq!(late, PeerError::ShuttingDown);
    // The client may not have seen the end of its connection yet.
    let lost = Err(PeerError::Lost { sent: true });
    let after = loop {
        let outcome = call_peer(&client, &peer, b"after").await;
        if outcome != lost {
            break outcome;
        }
    };
    let gone = matches!(after, Err(PeerError::Unreachable { .. } | PeerError::WrongGroup { .. }));
    assert!(gone, "{after:?}");
}
