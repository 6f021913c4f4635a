//! Services that lose or refuse a booking, or whose answers are cut short or belong to another
//! request: the booking runs at most once and its reported outcome is true.

#![allow(clippy::expect_used)]

mod common;

use bytes::Bytes;
use common::{ANY_PORT, SHORT, ScriptedUpstream, booking, service, service_client};
use http::{Method, StatusCode};
use tokio::io::AsyncReadExt;
use wheel_fakes::FaultPlan;
use wheel_types::{RequestId, RequestOutcome};
use wheel_upstream::{CallFailure, FailureKind, SentState, ServiceCall, ServiceClient};

async fn failure_of(client: &ServiceClient, call: ServiceCall) -> CallFailure {
    client.call(call).await.err().expect("failure")
}

/// Makes a booking under `faults`; returns the failure and how many times the booking ran.
async fn book_under(faults: FaultPlan) -> (CallFailure, u64) {
    let (service, client) = service().await;
    service.set_faults(faults);
    let mut call = booking("r-1");
    call.timeouts.first_byte = SHORT;
    let failure = failure_of(&client, call).await;
    (failure, service.runs(&RequestId::new("r-1")))
}

#[tokio::test]
async fn call_answer_lost_is_unknown_and_ran_once() {
    let faults = FaultPlan { close_before_answer: true, ..FaultPlan::default() };
    let (failure, runs) = book_under(faults).await;
    assert!(matches!(failure.kind, FailureKind::Closed { .. }));
    assert_eq!((failure.outcome(), runs), (RequestOutcome::Unknown, 1));
}

#[tokio::test]
async fn call_never_answered_is_unknown_and_ran_once() {
    let (failure, runs) =
        book_under(FaultPlan { never_answer: true, ..FaultPlan::default() }).await;
    assert!(matches!(failure.kind, FailureKind::Silent));
    assert_eq!((failure.outcome(), runs), (RequestOutcome::Unknown, 1));
}

#[tokio::test]
async fn call_never_read_is_unknown_and_never_ran() {
    let (failure, runs) = book_under(FaultPlan { never_read: true, ..FaultPlan::default() }).await;
    assert!(matches!(failure.kind, FailureKind::Silent));
    assert_eq!((failure.sent, failure.outcome()), (SentState::MaybeSent, RequestOutcome::Unknown));
    assert_eq!(runs, 0);
}

#[tokio::test]
async fn call_stalled_in_a_large_body_is_unknown() {
    let (service, client) = service().await;
    service.set_faults(FaultPlan { never_read: true, ..FaultPlan::default() });
    let mut call = booking("r-1");
    call.body = Bytes::from(vec![b'x'; 32 * 1024 * 1024]);
    call.timeouts.first_byte = SHORT;
    let failure = failure_of(&client, call).await;
    assert!(matches!(failure.kind, FailureKind::Silent));
    assert_eq!(failure.sent, SentState::MaybeSent);
}

#[tokio::test]
async fn call_foreign_answer_fails() {
    let answer_id = Some(RequestId::new("another"));
    let (failure, runs) = book_under(FaultPlan { answer_id, ..FaultPlan::default() }).await;
    assert!(matches!(failure.kind, FailureKind::ForeignAnswer));
    assert_eq!((failure.outcome(), runs), (RequestOutcome::Unknown, 1));
}

#[tokio::test]
async fn call_foreign_refusal_is_unknown() {
    let answer_id = Some(RequestId::new("another"));
    let faults = FaultPlan { refuse: true, answer_id, ..FaultPlan::default() };
    let (failure, _) = book_under(faults).await;
    assert!(!failure.reported_not_run);
    assert_eq!(failure.outcome(), RequestOutcome::Unknown);
}

#[tokio::test]
async fn call_refused_is_not_run() {
    let (service, client) = service().await;
    service.set_faults(FaultPlan { refuse: true, ..FaultPlan::default() });
    let answer = client.call(booking("r-1")).await.expect("answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome, RequestOutcome::NotRun);
    assert_eq!(service.runs(&RequestId::new("r-1")), 0);
}

#[tokio::test]
async fn call_dead_service_not_sent() {
    let (service, client) = service().await;
    service.kill().await;
    let failure = failure_of(&client, booking("r-1")).await;
    assert!(matches!(failure.kind, FailureKind::Connect { .. }));
    assert_eq!((failure.sent, failure.outcome()), (SentState::NotSent, RequestOutcome::NotRun));
}

#[tokio::test]
async fn call_cut_body_fails() {
    let (service, client) = service().await;
    service.set_faults(FaultPlan { cut_after: Some(5), ..FaultPlan::default() });
    let mut answer = client.call(booking("r-1")).await.expect("head");
    let failure = answer.body.collect(1_000).await.expect_err("failure");
    assert!(matches!(failure.kind, FailureKind::CutShort));
    assert_eq!(failure.outcome(), RequestOutcome::Unknown);
}

#[tokio::test]
async fn call_answer_without_explicit_end_fails() {
    let answer = "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n\r\nbooked";
    let upstream = ScriptedUpstream::bind(&[answer]).await;
    let failure = failure_of(&service_client(upstream.address), booking("r-1")).await;
    assert!(matches!(failure.kind, FailureKind::BadAnswer { .. }));
}

#[tokio::test]
async fn call_answer_with_another_coding_than_chunks_fails() {
    // Only a last chunk marks the end of such a body; without chunks its connection ends it.
    let answer = "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\ntransfer-encoding: gzip\r\n\r\nboo";
    let upstream = ScriptedUpstream::bind(&[answer]).await;
    let failure = failure_of(&service_client(upstream.address), booking("r-1")).await;
    assert!(matches!(failure.kind, FailureKind::BadAnswer { .. }));
}

#[tokio::test]
async fn call_answer_without_id_fails() {
    let answer = "HTTP/1.1 200 OK\r\nwheel-outcome: not-run\r\ncontent-length: 0\r\n\r\n";
    let upstream = ScriptedUpstream::bind(&[answer]).await;
    let failure = failure_of(&service_client(upstream.address), booking("r-1")).await;
    assert!(matches!(failure.kind, FailureKind::ForeignAnswer) && !failure.reported_not_run);
}

#[tokio::test]
async fn call_server_error_is_unknown() {
    let answer = "HTTP/1.1 500 Oops\r\nwheel-request-id: r-1\r\ncontent-length: 0\r\n\r\n";
    let upstream = ScriptedUpstream::bind(&[answer]).await;
    let answer = service_client(upstream.address).call(booking("r-1")).await.expect("answer");
    assert_eq!(answer.outcome, RequestOutcome::Unknown);
}

#[tokio::test]
async fn call_on_a_reused_connection_is_never_resent() {
    let first = "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\ncontent-length: 0\r\n\r\n";
    let upstream = ScriptedUpstream::bind(&[first, ""]).await;
    let client = service_client(upstream.address);
    let mut call = booking("r-1");
    (call.method, call.idempotent) = (Method::GET, true);
    client.call(call.clone()).await.expect("answer").body.collect(0).await.expect("body");
    // A call with the same id would go over a new connection.
    call.request_id = RequestId::new("r-2");
    let failure = failure_of(&client, call).await;
    assert_eq!((failure.sent, upstream.requests()), (SentState::MaybeSent, 2));
    assert_eq!(client.status().opened, 1);
}

#[tokio::test]
async fn call_duplicate_answer_reaches_no_later_call() {
    let twice = "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\ncontent-length: 0\r\n\r\n\
                 HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\ncontent-length: 0\r\n\r\n";
    let upstream = ScriptedUpstream::bind(&[twice, twice]).await;
    let client = service_client(upstream.address);
    for (id, answered) in [("r-1", true), ("r-2", false), ("r-3", false)] {
        let mut call = booking(id);
        (call.method, call.idempotent) = (Method::GET, true);
        let answer = client.call(call).await;
        assert_eq!(answer.is_ok(), answered, "{id}");
    }
}

#[tokio::test]
async fn call_abandoned_is_reset() {
    let listener = tokio::net::TcpListener::bind(ANY_PORT).await.expect("bind");
    let client = service_client(listener.local_addr().expect("address"));
    let mut call = booking("r-1");
    call.timeouts.first_byte = SHORT;
    assert!(matches!(failure_of(&client, call).await.kind, FailureKind::Silent));
    let (mut stream, _) = listener.accept().await.expect("accept");
    let error = stream.read_to_end(&mut Vec::new()).await.expect_err("a reset, not a close");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn call_without_listener_in_time_not_sent() {
    // A listener whose backlog is full answers no connection attempt.
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket.bind(ANY_PORT).expect("bind");
    let listener = socket.listen(0).expect("listen");
    let address = listener.local_addr().expect("address");
    let _filler = tokio::net::TcpStream::connect(address).await.expect("connect");
    let mut call = booking("r-1");
    call.timeouts.connect = SHORT;
    let failure = failure_of(&service_client(address), call).await;
    assert!(matches!(failure.kind, FailureKind::ConnectTimeout));
    assert_eq!(failure.sent, SentState::NotSent);
}
