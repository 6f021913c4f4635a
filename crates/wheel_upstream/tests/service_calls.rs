//! Calls to a plain service without faults.

mod common;

use common::{booking, eventually, service};
use http::{HeaderValue, Method, StatusCode};
use wheel_types::{RequestId, RequestOutcome};
use wheel_upstream::ServiceCall;

#[tokio::test]
async fn call_booking_runs_once_and_is_answered() {
    let (service, client) = service().await;
    let mut call = booking("r-1");
    call.headers.insert("connection", HeaderValue::from_static("x-hop, close"));
    call.headers.insert("x-hop", HeaderValue::from_static("1"));
    let mut answer = client.call(call.clone()).await.expect("answer");
    assert_eq!((answer.status, answer.outcome), (StatusCode::OK, RequestOutcome::Ran));
    let body = answer.body.collect(1_000).await.expect("body");
    let body: serde_json::Value = serde_json::from_slice(&body).expect("json");
    assert_eq!((&body["booked"], &body["path"]), (&true.into(), &"/bookings".into()));
    assert_eq!((service.runs(&call.request_id), service.runs_of_key("key-1")), (1, 1));
}

#[tokio::test]
async fn call_not_idempotent_reuses_no_connection() {
    let (_service, client) = service().await;
    let mut look_up = booking("r-1");
    (look_up.method, look_up.idempotent) = (Method::GET, true);
    let other = ServiceCall { request_id: RequestId::new("r-0"), ..look_up.clone() };
    for call in [look_up, other, booking("r-2"), booking("r-3")] {
        let mut answer = client.call(call).await.expect("answer");
        answer.body.collect(1_000).await.expect("body");
        eventually(|| client.status().open_calls == 0).await;
    }
    assert_eq!(client.status().opened, 3, "one for both look-ups, one for each booking");
}

#[tokio::test]
async fn call_not_idempotent_keeps_no_idle_connections() {
    let (_service, client) = service().await;
    for number in 0..20 {
        let mut answer = client.call(booking(&format!("r-{number}"))).await.expect("answer");
        answer.body.collect(1_000).await.expect("body");
    }
    eventually(|| client.status().open_calls == 0).await;
    assert_eq!(client.status().idle, 0, "nothing would ever use them");
}
