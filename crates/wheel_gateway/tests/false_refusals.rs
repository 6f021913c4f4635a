//! Failures with a status that promises that a request hasn't run, from upstreams that don't say so. A
//! status alone proves nothing: the request may have run, or may yet.

#![allow(clippy::expect_used)]

mod support;

use support::{Reply, TestIngress, TestUpstream};
use wheel_route::RouteKind;

/// Statuses after which callers repeat any request.
const PROMISES: [u16; 3] = [408, 429, 503];

/// A caller mustn't be told that a request hasn't run by bytes that no upstream has signed.
#[tokio::test]
async fn answer_unsigned_with_a_refusals_status_promises_nothing() {
    let mut failures = Vec::new();
    for kind in [RouteKind::NonIdempotent, RouteKind::Streaming { resumable: false }] {
        for status in PROMISES {
            let body = "failed".to_owned();
            let reply =
                Reply::Answer { status, body, signed: false, refused: false, other_id: false };
            let upstream = TestUpstream::bind("u1", vec![reply]).await;
            let ingress = TestIngress::bind(kind, &[&upstream]).await;
            let answer = ingress.post("/a/", &[]).await;
            assert_eq!(upstream.seen().len(), 1);
            if !matches!(answer.status, 502 | 504) {
                failures.push((kind, status, answer.status, answer.body));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
