//! Answers with 421 from upstreams that don't state that they haven't run the request. The status alone proves
//! nothing, as that of any other refusal: the request may have run.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::RouteKind;

/// A request that may run once must not be sent again, nor refused as not run, on a status alone.
#[tokio::test]
async fn misdirection_without_the_statement_that_nothing_ran_promises_nothing() {
    let mut failures = Vec::new();
    for kind in [RouteKind::NonIdempotent, RouteKind::Streaming { resumable: false }] {
        for signed in [false, true] {
            let reply = || Reply::Answer {
                status: 421,
                body: "failed".to_owned(),
                signed,
                refused: false,
                other_id: false,
            };
            let first = TestUpstream::bind("u1", vec![reply()]).await;
            let second = TestUpstream::bind("u2", vec![reply()]).await;
            let ingress = TestIngress::bind(kind, &[&first, &second]).await;
            let answer = ingress.post("/a/", &[]).await;
            let sends = first.seen().len() + second.seen().len();
            let is_own = signed && answer.status == 421;
            if sends != 1 || !(is_own || matches!(answer.status, 502 | 504)) {
                failures.push((kind, signed, sends, answer.status, answer.body));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
