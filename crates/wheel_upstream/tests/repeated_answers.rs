//! Upstreams that write an earlier answer once more, at the point where the next one is expected.
//! Taken for that, a refusal has its call told as not run while it runs, and a report is an old one.

#![allow(clippy::expect_used)]

mod common;

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use common::{
    LONG, RepeatingUpstream, booking, engine_client, generate, read_all, service, service_client,
};
use http::{Method, Request, StatusCode};
use wheel_upstream::{
    ConnectionLimits, DirectClient, EngineClient, EngineSettings, FailureKind, ServiceCall,
    ServiceClient,
};

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nwheel-request-id: ID\r\nwheel-outcome: not-run\r\n\
                       content-length: 0\r\n\r\n";
const ANSWER: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\ncontent-length: 2\r\n\r\nok";
const STREAM: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\nconnection: close\r\n\r\n\
                      data: {\"id\":\"ID\",\"wheel\":{\"index\":0}}\n\n\
                      data: {\"id\":\"ID\",\"choices\":[{\"finish_reason\":\"length\"}],\
                      \"wheel\":{\"index\":1}}\n\ndata: [DONE]\n\n";
const CUT_STREAM: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\nconnection: close\r\n\r\n\
                          data: {\"id\":\"ID\",\"wheel\":{\"index\":0}}\n\n";

/// A repeatable call.
fn look_up(id: &str) -> ServiceCall {
    let mut call = booking(id);
    (call.method, call.idempotent) = (Method::GET, true);
    call
}

#[tokio::test]
async fn generate_repeated_refusal_isnt_taken_for_the_next_send() {
    let upstream = RepeatingUpstream::bind(&[REFUSAL, STREAM]).await;
    let client = engine_client(upstream.address);
    let refused = client.generate(generate("r-1", 2)).await.err().expect("a refusal");
    assert!(refused.reported_not_run, "{refused}");
    let mut stream = client.generate(generate("r-1", 2)).await.expect("its own answer");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(end.is_ok() && tokens.len() == 2, "{end:?}");
    assert_eq!(upstream.requests(), 2);
}

#[tokio::test]
async fn generate_resumed_at_the_same_engine_takes_no_earlier_refusal() {
    let upstream = RepeatingUpstream::bind(&[REFUSAL, CUT_STREAM, STREAM]).await;
    let client = engine_client(upstream.address);
    assert!(client.generate(generate("r-1", 2)).await.is_err(), "a refusal");
    let mut stream = client.generate(generate("r-1", 2)).await.expect("its own answer");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(tokens.len() == 1 && end.is_err());
    let mut call = generate("r-1", 2);
    call.call.resume_from = stream.next_index();
    let mut stream = client.generate(call).await.expect("its own answer");
    let (tokens, end) = read_all(&mut stream).await;
    assert!(end.is_ok() && tokens.len() == 1, "{end:?}");
    assert_eq!(upstream.requests(), 3);
}

#[tokio::test]
async fn call_repeated_refusal_isnt_taken_for_the_next_send() {
    let upstream = RepeatingUpstream::bind(&[REFUSAL, ANSWER]).await;
    let client = service_client(upstream.address);
    let refused = client.call(look_up("r-1")).await.expect("a refusal");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let answer = client.call(look_up("r-1")).await.expect("its own answer");
    assert_eq!((answer.status, upstream.requests()), (StatusCode::OK, 2));
}

#[tokio::test]
async fn call_repeated_answer_isnt_taken_for_another_calls() {
    let upstream = RepeatingUpstream::bind(&[REFUSAL, ANSWER]).await;
    let client = service_client(upstream.address);
    client.call(look_up("r-1")).await.expect("a refusal");
    let failure = client.call(look_up("r-2")).await.err().expect("a failure");
    assert!(matches!(failure.kind, FailureKind::ForeignAnswer) && !failure.reported_not_run);
}

#[tokio::test]
async fn probe_takes_no_earlier_answer_for_its_own() {
    const EVENTS: &str = "HTTP/1.1 200 OK\r\nwheel-request-id: ID\r\ncontent-length: 13\r\n\r\n\
                          {\"events\":[]}";
    let upstream = RepeatingUpstream::bind(&[EVENTS, ANSWER, STREAM]).await;
    let limits = ConnectionLimits {
        probe_after_idle: Duration::ZERO,
        probe_timeout: LONG,
        ..ConnectionLimits::default()
    };
    let settings = EngineSettings::new("engine".into(), upstream.address).limits(limits);
    let client = EngineClient::open(settings);
    client.cache_events(0).await.expect("events");
    let mut stream = client.generate(generate("r-1", 2)).await.expect("its own answer");
    assert!(read_all(&mut stream).await.1.is_ok());
    let status = client.status();
    assert_eq!((status.probes, status.probe_failures, status.opened), (1, 1, 2));
}

#[tokio::test]
async fn fetch_repeated_answer_isnt_taken_for_the_next() {
    let upstream = RepeatingUpstream::bind(&[
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nold",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nnew",
    ])
    .await;
    let client = DirectClient::open(upstream.address, ConnectionLimits::default());
    for expected in ["old", "new"] {
        let answer = client.fetch(Request::new(Bytes::new()), LONG).await.expect("an answer");
        assert_eq!(answer.body, expected);
    }
}

/// Makes repeatable calls with different ids, one after the other.
async fn look_up_each(client: &ServiceClient, numbers: Range<u32>) {
    for number in numbers {
        let mut answer = client.call(look_up(&format!("r-{number}"))).await.expect("an answer");
        answer.body.collect(1_000).await.expect("a body");
    }
}

#[tokio::test]
async fn call_with_another_id_keeps_the_connection() {
    let (_service, client) = service().await;
    look_up_each(&client, 0..500).await;
    assert_eq!(client.status().opened, 1);
    // The ids that a connection has carried are kept, so that their number is limited.
    look_up_each(&client, 500..1_000).await;
    assert_eq!(client.status().opened, 2);
}

#[tokio::test]
async fn call_with_the_same_id_costs_one_connection_each() {
    let (_service, client) = service().await;
    look_up_each(&client, 0..10).await;
    look_up_each(&client, 0..10).await;
    assert_eq!(client.status().opened, 2);
    for opened in 3..=5 {
        look_up_each(&client, 0..1).await;
        assert_eq!(client.status().opened, opened);
    }
}
