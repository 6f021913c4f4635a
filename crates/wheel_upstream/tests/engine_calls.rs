//! Calls to an engine without faults.

mod common;

use std::sync::Arc;

use common::{TestPermit, are_tokens, engine, eventually, generate, load_order, read_all};
use wheel_types::{EngineOrder, ModelPhase, OrderAction, OrderReason, RequestId};
use wheel_upstream::{OrderResponse, StreamEvent};

#[tokio::test]
async fn generate_stream_yields_each_token_once() {
    let (engine, client) = engine().await;
    let call = generate("r-1", 20);
    let mut stream = client.generate(call.clone()).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(end.is_ok());
    assert_eq!(tokens.len(), 20);
    assert!(are_tokens(&tokens, &call, 0));
    assert_eq!(engine.runs(&call.call.request_id), 1);
    assert_eq!(client.status().cancels, 0);
}

#[tokio::test]
async fn generate_resumed_continues_with_the_same_tokens() {
    let (engine, client) = engine().await;
    let mut call = generate("r-1", 20);
    call.call.resume_from = 15;
    let mut stream = client.generate(call.clone()).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(end.is_ok());
    assert_eq!(tokens.len(), 5);
    assert!(are_tokens(&tokens, &call, 15));
    assert_eq!(engine.resumes(&call.call.request_id), 1);
}

#[tokio::test]
async fn complete_returns_the_complete_body() {
    let (_engine, client) = engine().await;
    let mut call = generate("r-1", 3);
    call.body = r#"{"model":"m","max_tokens":3}"#.into();
    let answer = client.complete(call).await.expect("answer");
    let answer: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
    assert_eq!(answer["id"], "r-1");
}

#[tokio::test]
async fn generate_many_reuses_one_connection() {
    let (_engine, client) = engine().await;
    for number in 0..20 {
        let mut stream =
            client.generate(generate(&format!("r-{number}"), 2)).await.expect("stream");
        assert!(read_all(&mut stream).await.1.is_ok());
        eventually(|| client.status().open_calls == 0).await;
    }
    assert_eq!(client.status().opened, 1);
}

#[tokio::test]
async fn drop_stream_cancels_at_the_engine() {
    let (engine, client) = engine().await;
    let mut stream = client.generate(generate("r-1", 1_000_000)).await.expect("stream");
    assert!(matches!(stream.next().await, Ok(StreamEvent::Token(_))));
    assert_eq!(engine.state().running, [RequestId::new("r-1")]);
    drop(stream);
    eventually(|| engine.state().running.is_empty()).await;
    assert_eq!(client.status().cancels, 1);
}

#[tokio::test]
async fn order_load_answers_then_loads() {
    let (engine, client) = engine().await;
    let (permit, order) = (Arc::new(TestPermit::default()), load_order("o-1", "n"));
    assert_eq!(client.order(&order, permit.clone()).await, OrderResponse::Accepted);
    assert_eq!(client.order(&order, permit.clone()).await, OrderResponse::Accepted);
    assert_eq!(engine.orders_carried(), 2, "the preloaded model and one load");
    let again = client.order(&load_order("o-2", "n"), permit).await;
    assert_eq!(again, OrderResponse::Refused(OrderReason::AlreadyThere));
    let loaded = || engine.state().find(&"n".into()).map(|model| model.phase);
    eventually(|| loaded() == Some(ModelPhase::Loaded)).await;
    assert_eq!(client.state().await.expect("state"), engine.state());
}

#[tokio::test]
async fn order_load_keeps_the_other_version_loaded() {
    let (engine, client) = engine().await;
    let permit = Arc::new(TestPermit::default());
    let action = OrderAction::LoadModel { model: "m".into(), version: 2, memory_mib: 5 };
    let order = EngineOrder { action, ..load_order("o-1", "m") };
    assert_eq!(client.order(&order, permit.clone()).await, OrderResponse::Accepted);
    let phases = || engine.state().models.iter().map(|model| model.phase).collect::<Vec<_>>();
    eventually(|| phases() == [ModelPhase::Loaded; 2]).await;
    let action = OrderAction::UnloadModel { model: "m".into(), version: 1 };
    let order = EngineOrder { action, ..load_order("o-2", "m") };
    assert_eq!(client.order(&order, permit).await, OrderResponse::Accepted);
    eventually(|| phases() == [ModelPhase::Loaded]).await;
    assert_eq!((engine.state().models[0].version, engine.max_used_mib()), (2, 15));
}

#[tokio::test]
async fn order_old_fencing_number_refused() {
    let (engine, client) = engine().await;
    let permit = Arc::new(TestPermit::default());
    assert_eq!(
        client.order(&load_order("o-1", "n"), permit.clone()).await,
        OrderResponse::Accepted
    );
    let mut stale = load_order("o-2", "p");
    stale.fencing_number.0 -= 1;
    let answer = client.order(&stale, permit).await;
    assert_eq!(answer, OrderResponse::Refused(OrderReason::StaleFencingNumber));
    assert!(engine.state().find(&"p".into()).is_none());
}

#[tokio::test]
async fn cache_events_after_a_number_are_newer() {
    let (_engine, client) = engine().await;
    let mut stream = client.generate(generate("r-1", 1)).await.expect("stream");
    assert!(read_all(&mut stream).await.1.is_ok());
    let events = client.cache_events(0).await.expect("events").events;
    assert_eq!(events.len(), 1);
    let after = client.cache_events(events[0].sequence).await.expect("events");
    assert!(after.events.is_empty());
    assert_eq!(client.load().await.expect("load").running, 0);
}
