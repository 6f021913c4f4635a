//! Orders whose lease ends, whose answer is lost, and which must not arrive late.

#![allow(clippy::expect_used)]

mod common;

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use common::{ANY_PORT, LONG, SHORT, TestPermit, engine, eventually, load_order};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use wheel_fakes::FaultPlan;
use wheel_types::RequestId;
use wheel_upstream::{EngineClient, EngineSettings, OrderAnswer, OrderPermit};

/// Valid for a number of questions.
struct CountedPermit {
    left: AtomicU64,
}

impl OrderPermit for CountedPermit {
    fn valid(&self) -> bool {
        let left =
            self.left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1));
        left.is_ok()
    }
}

/// How the next connection of `listener` ends: `None` for a close, else the error.
async fn end_of_next(listener: &TcpListener) -> Option<ErrorKind> {
    let (mut stream, _) = listener.accept().await.expect("accept");
    let ended = tokio::time::timeout(LONG, stream.read_to_end(&mut Vec::new())).await;
    ended.expect("in time").err().map(|error| error.kind())
}

fn hasty_client(address: std::net::SocketAddr) -> EngineClient {
    EngineClient::open(EngineSettings::new("engine".into(), address).order_life(SHORT))
}

#[tokio::test]
async fn order_permit_ended_on_the_way_never_arrives() {
    let (engine, client) = engine().await;
    let carried = engine.orders_carried();
    // Asked when the order is given, when its body is read and when it is written.
    for left in 0..3 {
        let permit = Arc::new(CountedPermit { left: AtomicU64::new(left) });
        let answer = client.order(&load_order(&format!("o-{left}"), "n"), permit).await;
        assert_eq!((answer, engine.orders_carried()), (OrderAnswer::NotSent, carried));
    }
    let permit = Arc::new(CountedPermit { left: AtomicU64::new(3) });
    let answer = client.order(&load_order("o-3", "n"), permit).await;
    assert_eq!((answer, engine.orders_carried()), (OrderAnswer::Accepted, carried + 1));
}

#[tokio::test]
async fn order_answer_lost_is_unknown_and_repeats_its_answer() {
    let (engine, client) = engine().await;
    let (permit, order) = (Arc::new(TestPermit::default()), load_order("o-1", "n"));
    engine.set_faults(FaultPlan { close_before_answer: true, ..FaultPlan::default() });
    assert_eq!(client.order(&order, permit.clone()).await, OrderAnswer::Unknown);
    let carried = engine.orders_carried();
    engine.set_faults(FaultPlan::default());
    assert_eq!(client.order(&order, permit).await, OrderAnswer::Accepted);
    assert_eq!(engine.orders_carried(), carried);
}

#[tokio::test]
async fn order_crossed_answer_is_unknown() {
    let (engine, client) = engine().await;
    let answer_id = Some(RequestId::new("another"));
    engine.set_faults(FaultPlan { answer_id, ..FaultPlan::default() });
    let permit = Arc::new(TestPermit::default());
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderAnswer::Unknown);
}

#[tokio::test]
async fn order_dead_engine_not_sent() {
    let (engine, client) = engine().await;
    engine.kill().await;
    let permit = Arc::new(TestPermit::default());
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderAnswer::NotSent);
}

#[tokio::test]
async fn order_unanswered_is_reset_after_its_life() {
    let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
    let client = hasty_client(listener.local_addr().expect("address"));
    let permit = Arc::new(TestPermit::default());
    assert_eq!(client.order(&load_order("o-1", "n"), permit).await, OrderAnswer::Unknown);
    assert_eq!(end_of_next(&listener).await, Some(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn order_dropped_is_reset() {
    let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
    let client = hasty_client(listener.local_addr().expect("address"));
    let (permit, order) =
        (Arc::new(CountedPermit { left: AtomicU64::new(3) }), load_order("o-1", "n"));
    tokio::select! {
        _ = client.order(&order, permit.clone()) => panic!("no answer is due"),
        () = eventually(|| permit.left.load(Ordering::Acquire) == 0) => {}
    }
    assert_eq!(end_of_next(&listener).await, Some(ErrorKind::ConnectionReset));
}

#[tokio::test]
async fn order_second_waits_for_the_first() {
    let (engine, _) = engine().await;
    let client = hasty_client(engine.local_addr());
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
    assert_eq!(answer, (OrderAnswer::Unknown, carried + 1));
    assert_eq!((at_first_end, engine.orders_carried()), (OrderAnswer::Unknown, carried + 2));
}
