//! The connections of an upstream stub and the requests on them.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, AsyncWrite, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::sync::watch;
use wheel_platform::wire_names::{
    ATTEMPT_ID, DEADLINE, KEY, MODEL, ORDER_PATH, REPORT_PATH, TARGET, TEAM,
};

use crate::answer_head::AnswerHead;
use crate::config_document::{CLOSED_PREFIX, ENGINE_SERVICE, LIMITED_PREFIX, RESUMABLE_PREFIX};
use crate::run_guard::RunGuard;
use crate::upstream_state::{RunAdmission, UpstreamPhase, UpstreamState};
use crate::wire_request::WireRequest;
use crate::wire_server::{ConnectionAction, WireHandler, write_json};
use crate::{ObservationSink, SeenEvent, UpstreamFault};

/// Maximum duration of a run, also if its request has no deadline.
const RUN_LIMIT: Duration = Duration::from_secs(20);
/// One in this many requests during a fault is affected by it.
const FAULT_SHARE: u64 = 2;
/// Time for which an upstream that refuses asks not to be called, in seconds.
const REST_S: &str = "0.2";
const BUSY: &str = "503 Service Unavailable";
/// Shortest silence of a sound upstream, and the span above it, in milliseconds.
const SILENCE_MS: u64 = 500;
const SILENCE_SPAN_MS: u64 = 1_501;
/// Spreads the silences of successive requests over the span; has no factor in common with it.
const SILENCE_STEP_MS: u64 = 379;

/// What the connections of a stub share.
pub(crate) struct UpstreamShared {
    pub(crate) sink: ObservationSink,
    pub(crate) state: Mutex<UpstreamState>,
    /// Changes when all connections are reset.
    pub(crate) epoch: watch::Sender<u64>,
    /// Number of requests during faults, affected or not.
    candidates: Mutex<u64>,
    /// The time of the last order, and its sender.
    pub(crate) last_order: Mutex<Option<(Duration, Arc<str>)>>,
}

impl WireHandler for UpstreamShared {
    async fn serve(&self, stream: &mut TcpStream) -> ConnectionAction {
        let mut epoch = self.epoch.subscribe();
        if self.state.lock().phase == UpstreamPhase::Off {
            return ConnectionAction::Reset;
        }
        let (read, mut write) = stream.split();
        let mut reader = BufReader::new(read);
        // The requests that were refused on this connection.
        let mut refused = BTreeSet::new();
        let serving = async {
            while let Ok(Some(request)) = WireRequest::read(&mut reader).await {
                match self.answer(&request, &mut refused, &mut reader, &mut write).await {
                    Ok(ConnectionAction::Keep) => {}
                    Ok(after) => return after,
                    Err(_) => return ConnectionAction::Reset,
                }
            }
            ConnectionAction::Close
        };
        tokio::select! {
            after = serving => after,
            _ = epoch.changed() => ConnectionAction::Reset,
        }
    }
}

impl UpstreamShared {
    pub(crate) fn new(id: Arc<str>, service: &'static str, sink: ObservationSink) -> Self {
        Self {
            sink,
            state: Mutex::new(UpstreamState::new(id, service)),
            epoch: watch::Sender::new(0),
            candidates: Mutex::new(0),
            last_order: Mutex::default(),
        }
    }

    async fn answer(
        &self,
        request: &WireRequest,
        refused: &mut BTreeSet<Arc<str>>,
        reader: &mut BufReader<ReadHalf<'_>>,
        write: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<ConnectionAction> {
        let target = request.header(TARGET);
        match request.path.as_str() {
            REPORT_PATH => {
                let report = self.state.lock().report();
                write_json(write, 200, &report).await
            }
            ORDER_PATH => {
                let order = self.state.lock().order(target, &request.body);
                let status = order.as_ref().map_or(400, |order| order.status);
                if let Some(order) = order {
                    let is_overcommitted = order.held_mb > order.room_mb;
                    *self.last_order.lock() = Some((self.sink.now(), Arc::clone(&order.holder)));
                    self.sink.record(SeenEvent::Ordered(order));
                    // An engine that is ordered to use more than its memory crashes.
                    if is_overcommitted && status == 202 {
                        return Ok(self.crash());
                    }
                }
                write_json(write, status, &serde_json::json!({})).await
            }
            _ => self.run(request, refused, reader, write).await,
        }
    }

    /// Restarts without pause under the same id; an injected fault stays.
    pub(crate) fn crash(&self) -> ConnectionAction {
        let mut state = self.state.lock();
        let (id, service, fault) = (Arc::clone(&state.id), state.service, state.fault);
        state.restart(id, service);
        state.fault = fault;
        self.epoch.send_modify(|epoch| *epoch += 1);
        ConnectionAction::Reset
    }

    async fn run(
        &self,
        request: &WireRequest,
        refused: &mut BTreeSet<Arc<str>>,
        reader: &mut BufReader<ReadHalf<'_>>,
        write: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<ConnectionAction> {
        let id: Arc<str> = request.header(ATTEMPT_ID).unwrap_or_default().into();
        let target = request.header(TARGET);
        let model = request.header(MODEL).unwrap_or_default();
        let epoch = *self.epoch.borrow();
        let (admission, upstream, service, fault) = {
            let mut state = self.state.lock();
            let admission = state.admit(target, model, &id);
            (admission, Arc::clone(&state.id), state.service, state.fault)
        };
        let head = AnswerHead { id: &id, upstream: &upstream };
        match admission {
            RunAdmission::Runs => {}
            RunAdmission::Misdirected => {
                return head.refuse(write, "421 Misdirected Request", None).await;
            }
            RunAdmission::Busy => return head.refuse(write, BUSY, None).await,
            RunAdmission::Resting => {
                refused.insert(Arc::clone(&id));
                return head.refuse(write, BUSY, Some(REST_S)).await;
            }
        }
        let resumed_after = request.number("last-event-id");
        self.sink.record(SeenEvent::RunBegan {
            id: Arc::clone(&id),
            upstream: Arc::clone(&upstream),
            resumed_after,
        });
        self.sink.record(SeenEvent::IdentitySeen {
            id: Arc::clone(&id),
            team: request.header(TEAM).map(Arc::from),
            has_key: request.header(KEY).is_some(),
        });
        let mut guard = RunGuard {
            shared: self,
            id: Arc::clone(&id),
            upstream: Arc::clone(&upstream),
            model: model.to_owned(),
            body: None,
            epoch,
        };
        if fault == Some(UpstreamFault::Refuses) && refused.contains(&id) {
            head.refuse(write, BUSY, Some(REST_S)).await?;
        }
        let limit = request.number(DEADLINE);
        let limit = limit.map_or(RUN_LIMIT, Duration::from_millis).min(RUN_LIMIT);
        let is_stream = service == ENGINE_SERVICE && is_stream(&request.path);
        let fault =
            fault.and_then(|fault| self.take_fault(fault, is_stream, resumed_after.is_some()));
        let silence = self.silence();
        let answer = match is_stream {
            true => head.stream(request, resumed_after.unwrap_or_default(), fault),
            false => head.plain(request, fault),
        };
        // Like most engines, drops a request when its connection closes, and like all at its deadline.
        let after = tokio::select! {
            written = answer.write(write, fault, silence) => written?,
            () = tokio::time::sleep(limit) => return Ok(ConnectionAction::Reset),
            () = wait_closed(reader) => return Ok(ConnectionAction::Reset),
        };
        let is_correct = after == ConnectionAction::Keep && fault != Some(UpstreamFault::Crossed);
        guard.body = answer.body.filter(|_| is_correct);
        Ok(after)
    }

    /// How long the next request's upstream is silent, if it is.
    fn silence(&self) -> Duration {
        let offset = *self.candidates.lock() * SILENCE_STEP_MS % SILENCE_SPAN_MS;
        Duration::from_millis(SILENCE_MS + offset)
    }

    /// The fault that affects the next request, if any.
    fn take_fault(
        &self,
        fault: UpstreamFault,
        is_stream: bool,
        is_resumed: bool,
    ) -> Option<UpstreamFault> {
        let mut candidates = self.candidates.lock();
        *candidates += 1;
        let is_second = candidates.is_multiple_of(2 * FAULT_SHARE);
        match fault {
            UpstreamFault::Breaks => is_stream.then_some(fault),
            UpstreamFault::Refuses => None,
            UpstreamFault::Resumes(_) if !is_stream => None,
            _ if !candidates.is_multiple_of(FAULT_SHARE) => None,
            UpstreamFault::Resumes(_) if !is_resumed => Some(UpstreamFault::Breaks),
            UpstreamFault::Cut if is_stream && is_second => Some(UpstreamFault::Closed),
            fault => Some(fault),
        }
    }
}

async fn wait_closed(reader: &mut BufReader<ReadHalf<'_>>) {
    // A pipelined request waits until this one is answered.
    if let Ok([_, ..]) = reader.fill_buf().await {
        std::future::pending::<()>().await;
    }
}

fn is_stream(path: &str) -> bool {
    let prefixes = [RESUMABLE_PREFIX, LIMITED_PREFIX, CLOSED_PREFIX];
    prefixes.iter().any(|prefix| path.starts_with(prefix))
}
