//! A simulated caller, which may reuse connections, disconnect, send slowly or resend.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout_at};

use crate::call_plan::CallPlan;
use crate::caller_connection::{CallBody, CallerConnection};
use crate::platform_headers::{ATTEMPT_ID, DEADLINE, KEY, MODEL, PROMPT, SIGNATURE, TOKEN_USAGE};
use crate::{CallEnd, CallKind, CallRoute, CallerSettings, ObservationSink, SeenEvent, TeamKey};

/// Maximum number of open requests of a caller; at the limit it waits.
const MAX_OPEN: usize = 256;
/// A caller closes the connection of an answer that is longer, in bytes; no sound one is.
pub(crate) const MAX_ANSWER: usize = 8 << 20;
/// A connection that was idle for longer isn't used again, because nobody would know whether a fault long
/// before has broken it.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Minimum time left before the deadline for the answer to a resend.
const MIN_RESEND_TIME: Duration = Duration::from_millis(200);

/// A running caller.
#[derive(Debug)]
pub struct SoakCaller {
    task: JoinHandle<()>,
}

impl SoakCaller {
    /// Starts a caller that sends requests until `stop` is true or its sender is dropped.
    pub fn spawn(
        settings: CallerSettings,
        sink: ObservationSink,
        stop: watch::Receiver<bool>,
    ) -> Self {
        let state = Arc::new(CallerState { settings, sink, idle: Mutex::default() });
        Self { task: tokio::spawn(state.send_until(stop)) }
    }

    /// Waits until the caller has been stopped and all its calls have ended.
    pub async fn ended(self) {
        // A call that panicked has no recorded end, which the checker reports.
        let _ = self.task.await;
    }
}

/// State that the calls of one caller share.
#[derive(Debug)]
struct CallerState {
    settings: CallerSettings,
    sink: ObservationSink,
    /// Idle connections, by process.
    idle: Mutex<BTreeMap<usize, Vec<CallerConnection>>>,
}

impl CallerState {
    async fn send_until(self: Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(self.settings.seed);
        let mut calls = JoinSet::new();
        let step = 1.0 / self.settings.rate_per_s.max(0.001);
        for number in 0_u64.. {
            let pause = Duration::from_secs_f64(step * random.random_range(0.0..2.0));
            tokio::select! {
                _ = stop.wait_for(|is_stopped| *is_stopped) => break,
                () = sleep(pause) => {}
            }
            while calls.try_join_next().is_some() || calls.len() >= MAX_OPEN {
                if calls.len() >= MAX_OPEN {
                    calls.join_next().await;
                }
            }
            let Some(plan) = CallPlan::draw(&self.settings, &mut random) else { break };
            calls.spawn(Arc::clone(&self).call(number, plan));
        }
        calls.join_all().await;
    }

    /// Sends a request, and resends it under a new id while that is allowed and there is time.
    async fn call(self: Arc<Self>, number: u64, mut plan: CallPlan) {
        let until = Instant::now() + plan.route.deadline;
        for attempt in 0..=plan.resends {
            let id: Arc<str> = format!("{}-{number}-{attempt}", self.settings.name).into();
            plan.route.deadline = until.saturating_duration_since(Instant::now());
            let end = self.exchange(&id, &plan).await;
            self.sink.record(SeenEvent::CallEnded { id, end: end.clone() });
            let is_idempotent = plan.route.kind == CallKind::Idempotent;
            let wait = match end {
                CallEnd::Answered { status: 408 | 421 | 429 | 503, retry_after, .. } => retry_after,
                CallEnd::Answered { status: 500.., .. } | CallEnd::Closed if is_idempotent => None,
                CallEnd::NotConnected => None,
                _ => return,
            };
            let left = until.saturating_duration_since(Instant::now());
            let wait = wait.filter(|_| plan.honors_retry_after).unwrap_or_default();
            if wait > left / 3 || left < wait + plan.body_time() + MIN_RESEND_TIME {
                return;
            }
            sleep(wait).await;
            plan.process = (plan.process + 1) % self.settings.processes.len();
            plan.reuses_connection = false;
        }
    }

    async fn exchange(&self, id: &Arc<str>, plan: &CallPlan) -> CallEnd {
        let (process, address) = &self.settings.processes[plan.process];
        let (id_, process) = (Arc::clone(id), Arc::clone(process));
        self.sink.record(SeenEvent::CallBegan { id: id_, process: Arc::clone(&process) });
        if let Some(key) = &self.settings.key {
            self.sink.record(SeenEvent::KeySent { id: Arc::clone(id), key: *key });
        }
        // After the record, so that no call is seen to end before its time.
        let began = Instant::now();
        let idle = self.take_idle(plan).await;
        let is_kept = idle.is_some();
        let opened = match idle {
            Some(connection) => Some(connection),
            None => CallerConnection::open(*address, self.sink.clone()).await,
        };
        let Some(mut connection) = opened else { return CallEnd::NotConnected };
        let CallRoute { kind, deadline, max_engines, .. } = plan.route;
        let id_ = Arc::clone(id);
        let sent = SeenEvent::CallSent { id: id_, kind, process, deadline, is_kept, max_engines };
        let marker = format!("the end of {id}");
        let key = self.settings.key.as_ref();
        let Some(request) = request(id, plan, &marker, key) else { return CallEnd::NotConnected };
        connection.notifier.arm(sent, &marker);
        let give_up = began + deadline + self.settings.deadline_slack;
        let leaves = plan.aborts_after.map_or(give_up, |after| began + after);
        let answer = match timeout_at(leaves, connection.sender.send_request(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => return CallEnd::Closed,
            // A caller that takes longer than its deadline to send can't expect an answer.
            Err(_) if plan.aborts_after.is_some() || connection.notifier.cancel() => {
                return CallEnd::Left;
            }
            Err(_) => return CallEnd::TimedOut,
        };
        connection.notifier.cancel();
        let (end, is_reusable) = read_answer(answer, plan.aborts_in_stream, give_up).await;
        if is_reusable {
            connection.idle_since = Instant::now();
            self.idle.lock().entry(plan.process).or_default().push(connection);
        }
        end
    }

    /// Takes an idle connection that is ready for the next request.
    async fn take_idle(&self, plan: &CallPlan) -> Option<CallerConnection> {
        if !plan.reuses_connection {
            return None;
        }
        loop {
            let mut connection = self.idle.lock().get_mut(&plan.process)?.pop()?;
            let is_young = connection.idle_since.elapsed() < MAX_IDLE;
            if is_young && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }
}

fn request(
    id: &str,
    plan: &CallPlan,
    marker: &str,
    key: Option<&TeamKey>,
) -> Option<Request<CallBody>> {
    let text = ".".repeat(plan.body_size) + marker;
    let length = text.len();
    let size = length.div_ceil(plan.body_chunks);
    let chunks: Vec<Vec<u8>> = text.as_bytes().chunks(size).map(<[u8]>::to_vec).collect();
    let pause = plan.body_pause;
    let frames = stream::iter(chunks).enumerate().then(move |(number, chunk)| async move {
        sleep(if number == 0 { Duration::ZERO } else { pause }).await;
        Ok(Frame::data(Bytes::from(chunk)))
    });
    let mut request = Request::post(&*plan.route.path)
        .header(http::header::HOST, &*plan.route.host)
        .header(http::header::CONTENT_LENGTH, length)
        .header(ATTEMPT_ID, id)
        .header(DEADLINE, plan.route.deadline.as_millis().to_string());
    if let Some(text) = key.and_then(TeamKey::text) {
        request = request.header(KEY, text);
    }
    if let Some(model) = &plan.model {
        request = request
            .header(MODEL, &**model)
            .header(TOKEN_USAGE, "100,20")
            .header(PROMPT, format!("{:x}:100", id.len()));
    }
    request.body(CallBody::new(StreamBody::new(frames))).ok()
}

/// Reads an answer to its end; the flag tells whether its connection can be reused.
async fn read_answer(
    answer: Response<Incoming>,
    aborts_after: Option<usize>,
    give_up: Instant,
) -> (CallEnd, bool) {
    let (head, mut incoming) = answer.into_parts();
    let (mut body, mut chunks) = (Vec::new(), 0);
    let is_whole = loop {
        match timeout_at(give_up, incoming.frame()).await {
            Ok(Some(Ok(frame))) => {
                body.extend(frame.into_data().unwrap_or_default());
                chunks += 1;
                if body.len() > MAX_ANSWER {
                    break false;
                }
            }
            Ok(Some(Err(_))) => break false,
            Ok(None) => break true,
            Err(_) => return (CallEnd::TimedOut, false),
        }
        if aborts_after.is_some_and(|after| chunks >= after && !incoming_is_done(&incoming)) {
            return (CallEnd::Left, false);
        }
    };
    (answer_end(head.status.as_u16(), &head.headers, body, is_whole), is_whole)
}

/// The end of an exchange with an answer.
pub(crate) fn answer_end(
    status: u16,
    headers: &HeaderMap,
    body: Vec<u8>,
    is_whole: bool,
) -> CallEnd {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let answered_id: Option<Arc<str>> = text(ATTEMPT_ID).map(Arc::from);
    let suffix = format!(".{}", answered_id.as_deref().unwrap_or_default());
    let signed_by = text(SIGNATURE).map(|by| by.strip_suffix(&suffix).unwrap_or(by).into());
    let seconds = text(http::header::RETRY_AFTER).and_then(|value| value.parse().ok());
    let retry_after = seconds.and_then(|value| Duration::try_from_secs_f64(value).ok());
    CallEnd::Answered { status, is_whole, answered_id, signed_by, body, retry_after }
}

fn incoming_is_done(incoming: &Incoming) -> bool {
    hyper::body::Body::is_end_stream(incoming)
}
