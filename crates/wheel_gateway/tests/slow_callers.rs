//! Callers that don't read their answers. The upstream that made these isn't to blame for them.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use support::{Reply, TestIngress, TestUpstream};
use tokio::sync::Mutex;
use wheel_memory::process_budget;
use wheel_route::RouteKind;

/// Budget of a process with 160 MB of memory, in bytes; an upstream's part is a quarter.
const BUDGET_BYTES: usize = 60 << 20;
const ANSWERS: usize = 6;
/// Time after a route's limit within which its unread answers must be given up.
const READ_SLACK: Duration = Duration::from_secs(2);

/// Held by each test, because they share the budget of the process.
static BUDGET_LOCK: Mutex<()> = Mutex::const_new(());

/// A caller's client, which keeps the connection of its answer open.
type CallerClient = Client<HttpConnector, Full<Bytes>>;

async fn call(ingress: &TestIngress) -> (CallerClient, Response<Incoming>) {
    let client: CallerClient = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{}/a/", ingress.address()))
        .header("x-id", "id-1")
        .body(Full::new(Bytes::from_static(b"asked")))
        .expect("a request");
    let answer = client.request(request).await.expect("an answer");
    (client, answer)
}

#[tokio::test]
async fn answers_that_nobody_reads_arent_refused_to_their_upstream() {
    let _lock = BUDGET_LOCK.lock().await;
    process_budget().set_limit(BUDGET_BYTES);
    let body = "x".repeat((4 << 20) - 1);
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &body); ANSWERS]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&upstream]).await;
    let mut unread = Vec::new();
    for _ in 0..ANSWERS {
        let (client, answer) = call(&ingress).await;
        assert_eq!(answer.status(), 200, "after {} unread answers", unread.len());
        unread.push((client, answer));
    }
    for (_, answer) in unread {
        let whole = answer.into_body().collect().await.expect("a whole answer");
        assert_eq!(whole.to_bytes().len(), body.len());
    }
}

/// Answers that nobody reads must not hold the memory of others for ever.
#[tokio::test]
async fn answer_that_nobody_reads_is_given_up_after_its_time() {
    let _lock = BUDGET_LOCK.lock().await;
    let body = "x".repeat((4 << 20) - 1);
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &body)]).await;
    let limit = Duration::from_secs(1);
    let ingress = TestIngress::with_route(RouteKind::Idempotent, &[&upstream], |route| {
        route.time_limit = limit;
    })
    .await;
    let before = process_budget().held();
    let _unread = call(&ingress).await;
    tokio::time::sleep(limit + READ_SLACK).await;
    let held = process_budget().held();
    assert!(held <= before, "{held} bytes are held, {before} before");
}
