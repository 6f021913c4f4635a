//! Callers that send one request on each connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wheel_harness::HttpCaller;

use crate::config_document::{
    CLOSED_PREFIX, IDEMPOTENT_PREFIX, MODEL_PREFIX, MODELS, ONCE_PREFIX, RESUMABLE_PREFIX,
    ROUTE_HOST,
};
use crate::{CallEnd, CallKind, ObservationSink, SeenEvent};

/// Time between two requests to one entry.
const CALL_INTERVAL: Duration = Duration::from_millis(60);
/// What a caller waits.
const DEADLINE: Duration = Duration::from_millis(5_000);
/// After this more a caller gives up.
const PATIENCE: Duration = Duration::from_secs(3);
/// Kinds of request, in turn.
const KINDS: [(&str, CallKind, &str); 5] = [
    (RESUMABLE_PREFIX, CallKind::ResumableStream, "8x60"),
    (IDEMPOTENT_PREFIX, CallKind::Idempotent, "100x30"),
    (CLOSED_PREFIX, CallKind::ClosedStream, "6x100"),
    (ONCE_PREFIX, CallKind::NonIdempotent, "10x200"),
    (MODEL_PREFIX, CallKind::Idempotent, "1000x50"),
];

/// Sends requests to entries until `stop` says so.
#[derive(Clone)]
pub struct PlainCaller {
    entries: Arc<[(Arc<str>, SocketAddr)]>,
    caller: HttpCaller,
    sink: ObservationSink,
}

impl PlainCaller {
    /// Calls the entries by their names and addresses.
    pub fn spawn(
        entries: Vec<(Arc<str>, SocketAddr)>,
        sink: ObservationSink,
        stop: watch::Receiver<bool>,
    ) -> JoinSet<()> {
        let caller = Self { entries: entries.into(), caller: HttpCaller::default(), sink };
        let mut tasks = JoinSet::new();
        tasks.spawn(caller.send_all(stop));
        tasks
    }

    async fn send_all(self, stop: watch::Receiver<bool>) {
        let mut calls = JoinSet::new();
        let mut number = 0;
        while !*stop.borrow() {
            for place in 0..self.entries.len() {
                number += 1;
                let caller = self.clone();
                calls.spawn(async move { caller.send(number, place).await });
            }
            while calls.try_join_next().is_some() {}
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        calls.join_all().await;
    }

    async fn send(&self, number: usize, place: usize) {
        let (process, address) = &self.entries[place];
        let (prefix, kind, amount) = KINDS[number % KINDS.len()];
        let (model, _) = MODELS[(number / KINDS.len()) % MODELS.len()];
        let id: Arc<str> = format!("call-{number}").into();
        let (path, time) = (format!("{prefix}{amount}"), DEADLINE.as_millis().to_string());
        let headers = [
            ("host", ROUTE_HOST),
            ("x-wisteriawheel-attempt-id", &*id),
            ("x-wisteriawheel-deadline-ms", &*time),
            ("x-wisteriawheel-model", model),
        ];
        let is_plain = prefix == ONCE_PREFIX || prefix == IDEMPOTENT_PREFIX;
        let headers = if is_plain { &headers[..3] } else { &headers[..] };
        self.sink.note(SeenEvent::CallSent {
            id: Arc::clone(&id),
            kind,
            process: Arc::clone(process),
            deadline: DEADLINE,
            is_kept: false,
        });
        let body = Bytes::from_static(b"body");
        let calling = self.caller.call(Method::POST, *address, &path, headers, body);
        let end = match tokio::time::timeout(DEADLINE + PATIENCE, calling).await {
            Err(_) => CallEnd::TimedOut,
            Ok(Err(_)) => CallEnd::Closed,
            Ok(Ok(reply)) => {
                let text = |name: &str| Some(reply.header(name)).filter(|text| !text.is_empty());
                let signer = text("x-wisteriawheel-response-signature");
                let signer = signer.and_then(|text| text.split('.').next());
                CallEnd::Answered {
                    status: reply.status.as_u16(),
                    is_whole: reply.complete,
                    answered_id: text("x-wisteriawheel-attempt-id").map(Arc::from),
                    signed_by: signer.map(Arc::from),
                    retry_after: text("retry-after")
                        .and_then(|text| text.parse().ok())
                        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
                    body: reply.body.to_vec(),
                }
            }
        };
        self.sink.note(SeenEvent::CallEnded { id, end });
    }
}
