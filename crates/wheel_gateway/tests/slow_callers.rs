//! Callers that don't read their answers. The upstream that made these isn't to blame for them.

#![allow(clippy::expect_used)]

mod support;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use support::{Reply, TestIngress, TestUpstream};
use wheel_memory::process_budget;
use wheel_route::RouteKind;

/// Budget of a process with 160 MB of memory, in bytes; an upstream's part is a quarter.
const BUDGET_BYTES: usize = 60 << 20;
const ANSWERS: usize = 6;

#[tokio::test]
async fn answers_that_nobody_reads_arent_refused_to_their_upstream() {
    process_budget().set_limit(BUDGET_BYTES);
    let body = "x".repeat((4 << 20) - 1);
    let upstream = TestUpstream::bind("u1", vec![Reply::ran(200, &body); ANSWERS]).await;
    let ingress = TestIngress::bind(RouteKind::Idempotent, &[&upstream]).await;
    let mut unread = Vec::new();
    for _ in 0..ANSWERS {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let request = Request::builder()
            .method("POST")
            .uri(format!("http://{}/a/", ingress.address()))
            .header("x-id", "id-1")
            .body(Full::new(Bytes::from_static(b"asked")))
            .expect("a request");
        let answer = client.request(request).await.expect("an answer");
        assert_eq!(answer.status(), 200, "after {} unread answers", unread.len());
        unread.push((client, answer));
    }
    for (_, answer) in unread {
        let whole = answer.into_body().collect().await.expect("a whole answer");
        assert_eq!(whole.to_bytes().len(), body.len());
    }
}
