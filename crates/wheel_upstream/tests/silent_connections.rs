//! Open connections that go silent permanently while new ones work.

#![allow(clippy::expect_used)]

mod common;

use std::time::Duration;

use common::{
    ANY_PORT, LONG, SHORT, SilencingRelay, booking, engine, eventually, generate, read_all,
    read_id, service, service_client, timeouts,
};
use http::Method;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use wheel_fakes::FaultPlan;
use wheel_types::RequestId;
use wheel_upstream::{
    ConnectionLimits, EngineClient, EngineSettings, FailureKind, ServiceCall, ServiceClient,
    ServiceSettings, StreamEvent, TokenStream,
};

fn client_of(relay: &SilencingRelay, limits: ConnectionLimits) -> EngineClient {
    let settings = EngineSettings::new("engine".into(), relay.address);
    EngineClient::open(settings.limits(limits).timeouts(timeouts()))
}

/// Starts a stream without an end and reads its first token.
async fn endless(client: &EngineClient, id: &str) -> TokenStream {
    let mut stream = client.generate(generate(id, 1_000_000)).await.expect("stream");
    assert!(matches!(stream.next().await, Ok(StreamEvent::Token(_))));
    stream
}

#[tokio::test]
async fn generate_after_silence_retires_older_connections() {
    let (_engine, direct) = engine().await;
    let relay = SilencingRelay::bind(_engine.local_addr()).await;
    let limits = ConnectionLimits { retired_grace: SHORT, ..ConnectionLimits::default() };
    let client = client_of(&relay, ConnectionLimits { probe_after_idle: LONG, ..limits });
    let mut silent = endless(&client, "r-1").await;
    let (mut first, mut second) = tokio::join!(endless(&client, "r-2"), endless(&client, "r-3"));
    for (stream, id) in [(&mut first, "r-2"), (&mut second, "r-3")] {
        direct.cancel(&RequestId::new(id)).await.expect("cancel");
        assert!(read_all(stream).await.1.is_err());
    }
    // Two concurrent complete calls leave two idle connections.
    let short = || async {
        let mut stream = client.generate(generate("r-4", 3)).await.expect("stream");
        assert!(read_all(&mut stream).await.1.is_ok());
    };
    tokio::join!(short(), short());
    eventually(|| client.status().idle == 2).await;

    relay.silence();
    let mut call = generate("r-5", 2);
    call.timeouts.first_byte = SHORT;
    let failure = client.generate(call).await.err().expect("failure");
    assert!(matches!(failure.kind, FailureKind::Silent));

    let mut fresh = client.generate(generate("r-6", 2)).await.expect("a fresh connection");
    assert!(read_all(&mut fresh).await.1.is_ok());
    let (_, end) =
        tokio::time::timeout(LONG / 2, read_all(&mut silent)).await.expect("moved early");
    assert!(matches!(end.expect_err("failure").kind, FailureKind::Silent));
    assert_eq!(client.status().retired, 2, "one idle connection and the older stream's");
}

#[tokio::test]
async fn generate_retired_stream_with_progress_continues() {
    let (engine, _) = engine().await;
    let relay = SilencingRelay::bind(engine.local_addr()).await;
    let limits = ConnectionLimits { retired_grace: SHORT, ..ConnectionLimits::default() };
    let client = client_of(&relay, limits);
    let active = generate("r-1", 1_000);
    let mut active = client.generate(active).await.expect("stream");
    assert!(matches!(active.next().await, Ok(StreamEvent::Token(_))));
    // A call times out as silent although the network works, and a new connection answers.
    engine.set_faults(FaultPlan { never_answer: true, ..Default::default() });
    let mut call = generate("r-2", 2);
    call.timeouts.first_byte = Duration::from_millis(50);
    assert!(client.generate(call).await.is_err());
    engine.set_faults(FaultPlan::default());
    client.state().await.expect("state");
    eventually(|| client.status().retired > 0).await;
    let (tokens, end) = read_all(&mut active).await;
    assert!(end.is_ok(), "{end:?}");
    assert_eq!(tokens.len(), 999);
}

#[tokio::test]
async fn generate_idle_connection_probed_before_reuse() {
    let (engine, _) = engine().await;
    let relay = SilencingRelay::bind(engine.local_addr()).await;
    let limits = ConnectionLimits {
        probe_after_idle: Duration::ZERO,
        probe_timeout: SHORT,
        ..ConnectionLimits::default()
    };
    let client = client_of(&relay, limits);
    client.state().await.expect("state");
    client.state().await.expect("state");
    assert_eq!((client.status().probes, client.status().opened), (1, 1));
    relay.silence();
    let mut stream = client.generate(generate("r-1", 2)).await.expect("a fresh connection");
    assert!(read_all(&mut stream).await.1.is_ok());
    assert_eq!((client.status().probe_failures, client.status().opened), (1, 2));
    assert_eq!(engine.runs(&RequestId::new("r-1")), 1);
}

#[tokio::test]
async fn call_booking_avoids_a_silent_connection() {
    let (service, _) = service().await;
    let relay = SilencingRelay::bind(service.local_addr()).await;
    let client = service_client(relay.address);
    let mut look_up = booking("r-1");
    (look_up.method, look_up.idempotent) = (Method::GET, true);
    client.call(look_up).await.expect("answer").body.collect(1_000).await.expect("body");
    relay.silence();
    let mut answer = client.call(booking("r-2")).await.expect("answer");
    answer.body.collect(1_000).await.expect("body");
    assert_eq!(service.runs(&RequestId::new("r-2")), 1);
}

/// A repeatable call that only suspects its connection after `SHORT`.
fn look_up(id: &str) -> ServiceCall {
    let mut call = booking(id);
    (call.method, call.idempotent) = (Method::GET, true);
    call.timeouts = timeouts().suspicion(SHORT);
    call
}

async fn look_up_whole(client: &ServiceClient, id: &str) {
    let mut answer = client.call(look_up(id)).await.expect("answer");
    answer.body.collect(1_000).await.expect("body");
}

#[tokio::test]
async fn call_after_a_silence_avoids_idle_connections_and_ends_no_call() {
    let (service, _) = service().await;
    let relay = SilencingRelay::bind(service.local_addr()).await;
    let limits = ConnectionLimits { retired_grace: SHORT, ..ConnectionLimits::default() };
    let settings = ServiceSettings::new("service".into(), relay.address).limits(limits);
    let client = ServiceClient::open(settings);
    tokio::join!(look_up_whole(&client, "r-1"), look_up_whole(&client, "r-2"));
    eventually(|| client.status().idle == 2).await;
    relay.silence();
    let silent = tokio::spawn({
        let client = client.clone();
        async move { client.call(look_up("r-3")).await.err() }
    });
    eventually(|| client.status().silent_calls == 1).await;
    tokio::time::timeout(LONG / 2, look_up_whole(&client, "r-4")).await.expect("a new connection");
    assert_eq!((client.status().opened, client.status().retired), (3, 2));
    // The call may still be answered: its upstream may only be slow.
    tokio::time::sleep(SHORT * 3).await;
    assert!(!silent.is_finished(), "a silent call must not end sooner than it has to");
    silent.abort();
}

#[tokio::test]
async fn call_answered_after_a_silence_keeps_its_connection() {
    let (service, client) = service().await;
    tokio::join!(look_up_whole(&client, "r-1"), look_up_whole(&client, "r-2"));
    eventually(|| client.status().idle == 2).await;
    let faults = FaultPlan { answer_delay_ms: 800, ..FaultPlan::default() };
    service.set_faults(faults);
    look_up_whole(&client, "r-3").await;
    service.set_faults(FaultPlan::default());
    tokio::join!(look_up_whole(&client, "r-4"), look_up_whole(&client, "r-5"));
    let status = client.status();
    assert_eq!((status.silent_calls, status.opened, status.retired), (1, 2, 0));
}

/// Serves a stream of four tokens, whose second one comes after `retired` and whose third one is
/// followed by a pause, then a call without an answer, and then reads of cache events and cancels.
async fn serve_paused_stream(listener: TcpListener, retired: oneshot::Receiver<()>) {
    let token =
        |index: u32| format!("data: {{\"id\":\"r-1\",\"wheel\":{{\"index\":{index}}}}}\n\n");
    let (mut stream, _) = listener.accept().await.expect("the stream");
    read_id(&mut stream).await.expect("a request");
    let head = "HTTP/1.1 200 OK\r\nwheel-request-id: r-1\r\n\r\n";
    stream.write_all(format!("{head}{}", token(0)).as_bytes()).await.expect("write");
    let (mut silent, _) = listener.accept().await.expect("the silent call");
    read_id(&mut silent).await.expect("a request");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(id) = read_id(&mut stream).await {
                    let head = format!("HTTP/1.1 200 OK\r\nwheel-request-id: {id}\r\n");
                    let answer = format!("{head}content-length: 13\r\n\r\n{{\"events\":[]}}");
                    stream.write_all(answer.as_bytes()).await.expect("write");
                }
            });
        }
    });
    retired.await.expect("retired");
    for index in 1..3 {
        tokio::time::sleep(SHORT / 3).await;
        stream.write_all(token(index).as_bytes()).await.expect("write");
    }
    tokio::time::sleep(SHORT * 4).await;
    // If the stream was given up meanwhile, the test sees it.
    let _ = stream.write_all(format!("{}data: [DONE]\n\n", token(3)).as_bytes()).await;
}

#[tokio::test]
async fn generate_retired_stream_that_went_on_outlasts_a_later_pause() {
    let listener = TcpListener::bind(ANY_PORT).await.expect("bind");
    let limits = ConnectionLimits { retired_grace: SHORT, ..ConnectionLimits::default() };
    let settings = EngineSettings::new("engine".into(), listener.local_addr().expect("address"));
    let client = EngineClient::open(settings.limits(limits).timeouts(timeouts()));
    let (retired, is_retired) = oneshot::channel();
    tokio::spawn(serve_paused_stream(listener, is_retired));
    let mut stream = client.generate(generate("r-1", 4)).await.expect("stream");
    assert!(matches!(stream.next().await, Ok(StreamEvent::Token(_))));
    let reading = tokio::spawn(async move { read_all(&mut stream).await });
    let mut call = generate("r-2", 2);
    call.timeouts.first_byte = SHORT;
    assert!(client.generate(call).await.is_err(), "nothing arrives");
    client.cache_events(0).await.expect("events over a new connection");
    eventually(|| client.status().retired > 0).await;
    retired.send(()).expect("the upstream runs");
    let (tokens, end) = reading.await.expect("no panic");
    assert!(end.is_ok() && tokens.len() == 3, "{} tokens, {end:?}", tokens.len());
}
