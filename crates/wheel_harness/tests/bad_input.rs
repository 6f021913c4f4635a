//! Bad input is refused with a clear error, and the process keeps running.

#![allow(clippy::expect_used)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use http::{Method, StatusCode};
use support::{generate, start};
use wheel_harness::ClusterSettings;

/// Path, headers and body of a request, and the expected status.
type BadCase<'a> = (&'a str, &'a [(&'a str, &'a str)], String, StatusCode);

#[tokio::test(flavor = "multi_thread")]
async fn callers_bad_input_is_refused_and_later_requests_are_served() {
    let mut settings = ClusterSettings::default();
    settings.daemon_flags.extend(["--max-body".to_owned(), "65536".to_owned()]);
    let cluster = start(settings).await;
    let at = cluster.instances[0].ports.callers;
    let path = "/v1/chat/completions";
    let desk = ("wheel-caller", "desk");
    let cases: [BadCase<'_>; 7] = [
        (path, &[], "{}".to_owned(), StatusCode::UNAUTHORIZED),
        (path, &[("wheel-caller", "nobody")], "{}".to_owned(), StatusCode::UNAUTHORIZED),
        (path, &[desk], "not JSON".to_owned(), StatusCode::BAD_REQUEST),
        (path, &[desk], r#"{"model":"none"}"#.to_owned(), StatusCode::NOT_FOUND),
        (path, &[desk], "x".repeat(70_000), StatusCode::PAYLOAD_TOO_LARGE),
        (
            path,
            &[desk, ("wheel-deadline-ms", "soon")],
            r#"{"model":"guide"}"#.to_owned(),
            StatusCode::BAD_REQUEST,
        ),
        ("/nowhere", &[desk], String::new(), StatusCode::NOT_FOUND),
    ];
    for (path, headers, body, wanted) in cases {
        let reply = cluster.client.call(Method::POST, at, path, headers, body.clone()).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, wanted, "{path} {:.40}: {}", body, reply.text());
        assert_eq!(reply.header("wheel-outcome"), "not-run");
        assert!(reply.json()["error"]["message"].is_string(), "{}", reply.text());
    }
    let long = "y".repeat(60_000);
    let reply = cluster.client.call(Method::POST, at, path, &[("x-long", &long)], "{}").await;
    assert_eq!(reply.expect("an answer").status.as_u16(), 431);
    let reply = generate(&cluster.client, at, "guide", 3, 20_000).await;
    support::assert_whole(&reply, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn ports_junk_is_dropped_and_the_instance_keeps_running() {
    let cluster = start(ClusterSettings::default()).await;
    let ports = cluster.instances[0].ports;
    for address in [ports.peer, ports.relay, ports.callers, ports.operators] {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let junk: Vec<u8> = (0..4_096_u32).map(|n| (n * 31 % 251) as u8).collect();
        let _ = stream.write_all(&junk);
        let mut answer = Vec::new();
        // The connection is refused, closed or reset, but never hangs.
        let ended = stream.read_to_end(&mut answer);
        let hung = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!hung, "{address} keeps a connection that sent junk");
    }
    let relayed = cluster
        .client
        .call(Method::POST, ports.relay, "/v1/completions", &[("wheel-relay", "{}")], "{}")
        .await;
    assert_eq!(relayed.expect("an answer").status, StatusCode::FORBIDDEN);
    let reply = generate(&cluster.client, ports.callers, "guide", 3, 20_000).await;
    support::assert_whole(&reply, 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn manifest_of_another_group_is_refused() {
    let cluster = start(ClusterSettings::default()).await;
    let at = cluster.instances[0].ports.operators;
    let source = cluster.source.replacen("group = \"minimal\"", "group = \"other\"", 1);
    let reply = cluster.apply(at, &source, 1, "other-group").await.expect("an answer");
    assert_eq!(reply.status, StatusCode::UNPROCESSABLE_ENTITY, "{}", reply.text());
    assert!(reply.text().contains("other"), "{}", reply.text());
    let held = cluster.client.get(at, "/admin/v1/text").await.expect("an answer");
    assert_eq!(held.header("etag"), "\"1\"");
}
