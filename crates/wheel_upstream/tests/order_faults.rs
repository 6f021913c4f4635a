//! Orders whose permit expires or whose answer is lost; none may arrive late.

#![allow(clippy::expect_used)]

mod common;

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{
    ANY_PORT, LONG, SHORT, ScriptedUpstream, TestPermit, engine, eventually, load_order, read_id,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wheel_fakes::FaultPlan;
use wheel_types::RequestId;
use wheel_upstream::{EngineClient, EngineSettings, OrderPermit, OrderResponse};

/// The answer to a probe.
const PROBED: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\ncontent-length: 0\r\n\r\n";

/// Valid for a number of checks.
struct CountedPermit {
    remaining: AtomicU64,
}

impl OrderPermit for CountedPermit {
    fn is_valid(&self) -> bool {
        let checked = self
            .remaining
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |checks| checks.checked_sub(1));
        checked.is_ok()
    }
}

/// Accepts a connection and answers its first request if `answers_probe`, and nothing more; returns
/// how the connection ends: `None` for a close, otherwise the error.
async fn stall(listener: TcpListener, answers_probe: bool) -> Option<ErrorKind> {
    let (mut stream, _) = listener.accept().await.expect("accept");
    if answers_probe {
        let id = read_id(&mut stream).await.expect("probe");
        let answer = PROBED.replace("ID", &id);
        stream.write_all(answer.as_bytes()).await.expect("write");
    }
    let ended = tokio::time::timeout(LONG, stream.read_to_end(&mut Vec::new())).await;
    ended.expect("in time").err().map(|error| error.kind())
}

fn short_order_life_client(address: std::net::SocketAddr) -> EngineClient {
    EngineClient::open(EngineSettings::new("engine".into(), address).order_life(SHORT))
}

#[tokio::test]
async fn order_with_permit_expired_while_sending_never_arrives() {
    let (engine, client) = engine().await;
    let carried = engine.orders_carried();
    // The permit is checked when the order is requested, when the probe is written, when the body
    // of the order is read and when it is written.
    for checks in 0..4 {
        let permit = Arc::new(CountedPermit { remaining: AtomicU64::new(checks) });
        let answer = client.order(&load_order(&format!("o-{checks}"), "n"), permit).await;
        assert_eq!((answer, engine.orders_carried()), (OrderResponse::NotSent, carried));
    }
    let permit = Arc::new(CountedPermit { remaining: AtomicU64::new(4) });
    let answer = client.order(&load_order("o-4", "n"), permit).await;
    assert_eq!((answer, engine.orders_carried()), (OrderResponse::Accepted, carried + 1));
}

#[tokio::test]
async fn order_answer_lost_is_unknown_and_repeats_its_answer() {
    let (engine, client) = engine().await;
    let (permit, order) = (Arc::new(TestPermit::default()), load_order("o-1", "n"));
    engine.set_faults(FaultPlan { close_before_answer: true, ..FaultPlan::default() });
    assert_eq!(client.order(&order, permit.clone()).await, OrderResponse::Unknown);
    let carried = engine.orders_carried();
    engine.set_faults(FaultPlan::default());
    assert_eq!(client.order(&order, permit).await, OrderResponse::Accepted);
    assert_eq!(engine.orders_carried(), carried);
}

#[tokio::test]
async fn order_foreign_answer_is_unknown() {
    let (engine, client) = engine().await;
    let answer_id = Some(RequestId::new("another"));
    engine.set_faults(FaultPlan { answer_id, ..FaultPlan::default() });
    let permit = Arc::new(TestPermit::default());
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderResponse::Unknown);
}

#[tokio::test]
async fn order_accepted_under_an_error_status_is_unknown() {
    let upstream = ScriptedUpstream::bind(&[
        PROBED,
        "HTTP/1.1 502 Bad Gateway\r\nwheel-request-id: ID\r\ncontent-length: 34\r\n\r\n{\"order_id\":\"o-1\",\"accepted\":true}",
    ])
    .await;
    let (client, permit) =
        (short_order_life_client(upstream.address), Arc::new(TestPermit::default()));
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderResponse::Unknown);
    assert_eq!(upstream.requests(), 2);
}

#[tokio::test]
async fn order_whose_probe_is_answered_for_another_request_isnt_sent() {
    let upstream = ScriptedUpstream::bind(&[
        "HTTP/1.1 200 OK\r\nwheel-request-id: another\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\ncontent-length: 34\r\n\r\n{\"order_id\":\"o-1\",\"accepted\":true}",
    ])
    .await;
    let (client, permit) =
        (short_order_life_client(upstream.address), Arc::new(TestPermit::default()));
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderResponse::NotSent);
    assert_eq!(upstream.requests(), 1);
}

#[tokio::test]
async fn order_answered_under_another_id_is_unknown() {
    for id in ["wheel-request-id: another\r\n", ""] {
        let accepted = format!(
            "HTTP/1.1 200 OK\r\n{id}content-length: 34\r\n\r\n{{\"order_id\":\"o-1\",\"accepted\":true}}"
        );
        let upstream = ScriptedUpstream::bind(&[PROBED, &accepted]).await;
        let (client, permit) =
            (short_order_life_client(upstream.address), Arc::new(TestPermit::default()));
        assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderResponse::Unknown);
        assert_eq!(upstream.requests(), 2);
    }
}

#[tokio::test]
async fn order_dead_engine_not_sent() {
    let (engine, client) = engine().await;
    engine.kill().await;
    let permit = Arc::new(TestPermit::default());
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderResponse::NotSent);
}

#[tokio::test]
async fn order_unanswered_is_reset_after_order_life() {
    for (answers_probe, expected) in
        [(true, OrderResponse::Unknown), (false, OrderResponse::NotSent)]
    {
        let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
        let client = short_order_life_client(listener.local_addr().expect("address"));
        let (permit, order) = (Arc::new(TestPermit::default()), load_order("o-1", "n"));
        let (answer, end) =
            tokio::join!(client.order(&order, permit), stall(listener, answers_probe));
        assert_eq!((answer, end), (expected, Some(ErrorKind::ConnectionReset)));
    }
}

#[tokio::test]
async fn order_dropped_is_reset() {
    let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
    let client = short_order_life_client(listener.local_addr().expect("address"));
    let order = load_order("o-1", "n");
    let permit = Arc::new(CountedPermit { remaining: AtomicU64::new(4) });
    let stalled = tokio::spawn(stall(listener, true));
    tokio::select! {
        _ = client.order(&order, permit.clone()) => panic!("no answer is due"),
        () = eventually(|| permit.remaining.load(Ordering::Acquire) == 0) => {}
    }
    assert_eq!(stalled.await.expect("end"), Some(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn order_to_a_frozen_engine_never_arrives() {
    let (engine, client) = engine().await;
    let (permit, carried) = (Arc::new(TestPermit::default()), engine.orders_carried());
    engine.set_faults(FaultPlan { never_read: true, ..FaultPlan::default() });
    let answer = client.order(&load_order("o-1", "n"), permit).await;
    assert_eq!((answer, engine.orders_carried()), (OrderResponse::NotSent, carried));
}

#[tokio::test]
async fn order_second_waits_for_the_first() {
    let (engine, _) = engine().await;
    let client = short_order_life_client(engine.local_addr());
    engine.set_faults(FaultPlan { never_answer: true, ..FaultPlan::default() });
    let carried = engine.orders_carried();
    let permit = Arc::new(TestPermit::default());
    let (first, second) = (load_order("o-1", "n"), load_order("o-2", "p"));
    let (answer, at_first_end) = tokio::join!(
        biased;
        async {
            let answer = client.order(&first, permit.clone()).await;
            (answer, engine.orders_carried())
        },
        client.order(&second, permit.clone()),
    );
    assert_eq!(answer, (OrderResponse::Unknown, carried + 1));
    assert_eq!((at_first_end, engine.orders_carried()), (OrderResponse::Unknown, carried + 2));
}
