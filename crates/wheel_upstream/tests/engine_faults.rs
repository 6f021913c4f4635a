//! Engines whose answers are late, belong to another request, repeat events, are cut short or
//! missing.

mod common;

use std::time::Duration;

use common::{
    LONG, SHORT, ScriptedUpstream, are_tokens, engine, engine_client, engine_with, eventually,
    generate, read_all,
};
use http::StatusCode;
use wheel_fakes::{FakeEngineSettings, FaultPlan};
use wheel_types::{RequestId, RequestOutcome};
use wheel_upstream::{
    CallFailure, ConnectionLimits, EngineClient, EngineSettings, FailureKind, SentState,
    StreamEvent,
};

fn is_unknown(failure: &CallFailure) -> bool {
    failure.sent == SentState::MaybeSent && failure.outcome() == RequestOutcome::Unknown
}

#[tokio::test]
async fn generate_foreign_id_in_head_fails() {
    let (engine, client) = engine().await;
    let answer_id = Some(RequestId::new("another"));
    engine.set_faults(FaultPlan { answer_id, ..FaultPlan::default() });
    let failure = client.generate(generate("r-1", 2)).await.err().expect("failure");
    assert!(matches!(failure.kind, FailureKind::ForeignAnswer) && is_unknown(&failure));
    engine.set_faults(FaultPlan::default());
    let mut stream = client.generate(generate("r-2", 2)).await.expect("stream");
    assert!(read_all(&mut stream).await.1.is_ok());
    let status = client.status();
    assert_eq!((status.foreign_answers, engine.runs(&RequestId::new("r-1"))), (1, 1));
}

#[tokio::test]
async fn generate_foreign_id_in_event_fails() {
    let upstream = ScriptedUpstream::bind(&["HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n\
         content-length: 79\r\n\r\ndata: {\"id\":\"r-1\",\"wheel\":{\"index\":0}}\n\n\
         data: {\"id\":\"r-2\",\"wheel\":{\"index\":1}}\n"])
    .await;
    let client = engine_client(upstream.address);
    let mut stream = client.generate(generate("r-1", 2)).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    let failure = end.expect_err("failure");
    assert_eq!(tokens.len(), 1);
    assert!(matches!(failure.kind, FailureKind::ForeignAnswer) && is_unknown(&failure));
}

#[tokio::test]
async fn generate_duplicate_events_dropped() {
    let (engine, client) = engine().await;
    engine.set_faults(FaultPlan { double_events: true, ..FaultPlan::default() });
    let call = generate("r-1", 10);
    let mut stream = client.generate(call.clone()).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(end.is_ok());
    assert_eq!((tokens.len(), client.status().duplicate_events), (10, 10));
    assert!(are_tokens(&tokens, &call, 0));
}

#[tokio::test]
async fn generate_missing_token_fails() {
    let (engine, client) = engine().await;
    engine.set_faults(FaultPlan { skip_index: Some(3), ..FaultPlan::default() });
    let mut stream = client.generate(generate("r-1", 10)).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert_eq!((tokens.len(), stream.next_index()), (3, 3));
    let kind = end.expect_err("failure").kind;
    assert!(matches!(kind, FailureKind::TokenGap { expected: 3, found: 4 }));
}

#[tokio::test]
async fn generate_end_without_end_marker_is_cut_short() {
    let upstream = ScriptedUpstream::bind(&["HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n\
         content-length: 40\r\n\r\ndata: {\"id\":\"r-1\",\"wheel\":{\"index\":0}}\n\n"])
    .await;
    let mut stream =
        engine_client(upstream.address).generate(generate("r-1", 1)).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert_eq!(tokens.len(), 1);
    assert!(matches!(end.expect_err("failure").kind, FailureKind::CutShort));
}

#[tokio::test]
async fn complete_answer_closed_inside_its_body_fails() {
    let upstream = ScriptedUpstream::bind(&[
        "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n\r\n{\"id\":\"r-1\",\"c",
    ])
    .await;
    let client = engine_client(upstream.address);
    let failure = client.complete(generate("r-1", 2)).await.expect_err("failure");
    assert!(is_unknown(&failure), "{failure}");
}

#[tokio::test]
async fn generate_closed_inside_its_end_marker_is_cut_short() {
    let upstream = ScriptedUpstream::bind(&["HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n\r\n\
         data: {\"id\":\"r-1\",\"wheel\":{\"index\":0}}\n\ndata: [DONE]"])
    .await;
    let client = engine_client(upstream.address);
    let mut stream = client.generate(generate("r-1", 1)).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert_eq!(tokens.len(), 1);
    assert!(matches!(end.expect_err("failure").kind, FailureKind::CutShort));
}

#[tokio::test]
async fn generate_cut_short_resumes_elsewhere() {
    let (first, client) = engine().await;
    let (second, other_client) = engine().await;
    first.set_faults(FaultPlan { cut_after: Some(4), ..FaultPlan::default() });
    let mut call = generate("r-1", 10);
    let mut stream = client.generate(call.clone()).await.expect("stream");
    let (mut tokens, end) = read_all(&mut stream).await;
    let failure = end.expect_err("failure");
    assert!(matches!(failure.kind, FailureKind::CutShort) && is_unknown(&failure));
    call.call.resume_from = stream.next_index();
    let mut stream = other_client.generate(call.clone()).await.expect("stream");
    let (rest, end) = read_all(&mut stream).await;
    assert!(end.is_ok());
    tokens.extend(rest);
    assert_eq!((tokens.len(), second.resumes(&call.call.request_id)), (10, 1));
    assert!(are_tokens(&tokens, &call, 0));
}

#[tokio::test]
async fn generate_killed_engine_is_cut_short() {
    let (engine, client) = engine().await;
    let mut stream = client.generate(generate("r-1", 1_000_000)).await.expect("stream");
    assert!(matches!(stream.next().await, Ok(StreamEvent::Token(_))));
    engine.kill().await;
    let (_, end) = read_all(&mut stream).await;
    assert!(matches!(end.expect_err("failure").kind, FailureKind::CutShort));
    let failure = client.generate(generate("r-2", 1)).await.err().expect("failure");
    assert!(matches!(failure.kind, FailureKind::Connect { .. }));
    assert_eq!((failure.sent, failure.outcome()), (SentState::NotSent, RequestOutcome::NotRun));
}

#[tokio::test]
async fn generate_late_answer_reaches_no_later_call() {
    let (engine, client) = engine().await;
    engine.set_faults(FaultPlan { answer_delay_ms: 400, ..FaultPlan::default() });
    let mut call = generate("r-1", 2);
    call.timeouts.first_byte = SHORT;
    let failure = client.generate(call).await.err().expect("failure");
    assert!(matches!(failure.kind, FailureKind::Silent) && is_unknown(&failure));
    engine.set_faults(FaultPlan::default());
    let call = generate("r-2", 2);
    let mut stream = client.generate(call.clone()).await.expect("stream");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(end.is_ok() && are_tokens(&tokens, &call, 0));
    assert_eq!(client.status().opened, 2 + client.status().cancels.min(1));
}

/// The time of a call must end its stream although tokens arrive. The clock stands still while they
/// are read, so that the machine's load takes nothing of that time.
#[tokio::test]
async fn generate_deadline_ends_a_running_stream() {
    // A timer ends with the tick of the clock after its time.
    let (token_time, tick) = (SHORT / 3, Duration::from_millis(1));
    let settings = FakeEngineSettings { token_time, ..FakeEngineSettings::default() };
    let (_engine, client) = engine_with(settings).await;
    tokio::time::pause();
    // Without a blocking task, the clock would go on whenever every task waits.
    let (hold, held) = std::sync::mpsc::channel::<()>();
    tokio::task::spawn_blocking(move || held.recv());
    let mut call = generate("r-1", 1_000);
    call.timeouts = call.timeouts.total(SHORT);
    let began = tokio::time::Instant::now();
    let mut stream = client.generate(call).await.expect("stream");
    for index in 0..2 {
        tokio::time::advance(token_time + tick).await;
        let event = stream.next().await;
        assert!(
            matches!(&event, Ok(StreamEvent::Token(token)) if token.index == index),
            "{event:?}"
        );
    }
    tokio::time::advance(token_time + tick).await;
    drop(hold);
    let (_, end) = read_all(&mut stream).await;
    let took = began.elapsed();
    assert!(matches!(end.expect_err("failure").kind, FailureKind::Deadline));
    assert!((SHORT..SHORT + token_time).contains(&took), "ended after {took:?}");
}

#[tokio::test]
async fn generate_refused_by_the_engine_is_not_run() {
    let (engine, client) = engine().await;
    let mut call = generate("r-1", 2);
    call.body = r#"{"model":"unloaded","stream":true}"#.into();
    let failure = client.generate(call).await.err().expect("failure");
    assert!(failure.reported_not_run && failure.outcome() == RequestOutcome::NotRun);
    let not_found = StatusCode::NOT_FOUND;
    assert!(matches!(failure.kind, FailureKind::Refused { status, .. } if status == not_found));
    engine.set_leaving(true);
    let failure = client.generate(generate("r-2", 2)).await.err().expect("failure");
    assert!(failure.reported_not_run);
    assert_eq!(engine.runs(&RequestId::new("r-1")) + engine.runs(&RequestId::new("r-2")), 0);
}

#[tokio::test]
async fn generate_beyond_open_calls_not_sent() {
    let (engine, _) = engine().await;
    let limits = ConnectionLimits { max_open: 1, ..ConnectionLimits::default() };
    let settings = EngineSettings::new("engine".into(), engine.local_addr()).limits(limits);
    let client = EngineClient::open(settings);
    let _stream = client.generate(generate("r-1", 1_000_000)).await.expect("stream");
    let failure = client.generate(generate("r-2", 1)).await.err().expect("failure");
    assert!(matches!(failure.kind, FailureKind::TooManyOpen));
    assert_eq!(failure.sent, SentState::NotSent);
}

#[tokio::test]
async fn generate_dropped_before_the_answer_cancels() {
    let (engine, client) = engine().await;
    engine.set_faults(FaultPlan { never_answer: true, ..FaultPlan::default() });
    let call = generate("r-1", 2);
    tokio::select! {
        _ = client.generate(call) => panic!("no answer is due"),
        () = eventually(|| !engine.state().running.is_empty()) => {}
    }
    eventually(|| engine.state().running.is_empty()).await;
    assert_eq!(client.status().cancels, 1);
}

#[tokio::test]
async fn drop_stream_leaves_the_resumed_one_running() {
    let (_engine, client) = engine().await;
    for round in 0..20 {
        let mut call = generate(&format!("r-{round}"), 12);
        let mut stream = client.generate(call.clone()).await.expect("stream");
        assert!(matches!(stream.next().await, Ok(StreamEvent::Token(_))));
        drop(stream);
        call.call.resume_from = 1;
        let mut stream = client.generate(call.clone()).await.expect("stream");
        let (tokens, end) = read_all(&mut stream).await;
        assert!(end.is_ok(), "{end:?}");
        assert!(tokens.len() == 11 && are_tokens(&tokens, &call, 1));
    }
}

#[tokio::test]
async fn generate_oversized_event_fails() {
    let (engine, _) = engine().await;
    let limits = ConnectionLimits { max_event_bytes: 64, ..ConnectionLimits::default() };
    let settings = EngineSettings::new("engine".into(), engine.local_addr()).limits(limits);
    let mut stream =
        EngineClient::open(settings).generate(generate("r-1", 2)).await.expect("stream");
    let (_, end) = tokio::time::timeout(LONG, read_all(&mut stream)).await.expect("in time");
    assert!(matches!(end.expect_err("failure").kind, FailureKind::TooLarge));
}
