//! A stub of an upstream of the system under test, with injected faults.
//!
//! The last part of a request's path is its workload: `AxB` stands for A events with a pause of B
//! milliseconds before each or, for a plain answer, for A additional bytes after B milliseconds.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use wheel_harness::{LinkRelay, LinkState};
use wheel_platform::wire_names::{
    ATTEMPT_ID, DEADLINE, INSTANCE, MODEL, NOT_EXECUTED, ORDER_PATH, REPORT_PATH, SIGNATURE, TARGET,
};

use crate::config_document::{CLOSED_PREFIX, ENGINE_SERVICE, LIMITED_PREFIX, RESUMABLE_PREFIX};
use crate::upstream_state::{RunAdmission, UpstreamPhase, UpstreamState};
use crate::wire_request::WireRequest;
use crate::wire_server::{ConnectionAction, WireHandler, bind_wire, write_json};
use crate::{ObservationSink, SeenEvent, SoakError};

/// Workload of a stream whose path names none: the number of events and the milliseconds before each.
const DEFAULT_STREAM: (u64, u64) = (5, 50);
/// The same for a plain answer: additional bytes and milliseconds.
const DEFAULT_ANSWER: (u64, u64) = (0, 20);
/// Additional delay of a late answer.
const LATE_DELAY: Duration = Duration::from_millis(2_500);
/// Maximum duration of a run, also if its request has no deadline.
const RUN_LIMIT: Duration = Duration::from_secs(20);
/// One in this many requests during a fault is affected by it.
const FAULT_SHARE: u64 = 2;
/// Shortest silence of a sound upstream, and the span above it, in milliseconds.
const SILENCE_MS: u64 = 500;
const SILENCE_SPAN_MS: u64 = 1_501;
/// Spreads the silences of successive requests over the span; has no factor in common with it.
const SILENCE_STEP_MS: u64 = 379;
/// Bytes without end are sent in pieces of this size with a pause between them, so that the soak
/// itself doesn't use all of the machine.
static ENDLESS_PIECE: [u8; 64 * 1024] = [b'x'; 64 * 1024];
const ENDLESS_PAUSE: Duration = Duration::from_millis(4);

/// The part of an answer at which a fault acts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPhase {
    /// Before the head, or in it.
    Head,
    /// After the head, before the first event or byte of the body.
    FirstEvent,
    /// In the middle of the body.
    Middle,
}

/// A fault that affects some requests at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// It begins a run and hangs before its answer is complete.
    Hang,
    /// It answers seconds too late.
    Late,
    /// It answers 500.
    Fail,
    /// Its answer has the id of another request.
    Crossed,
    /// It sends its answer twice.
    Doubled,
    /// Its answer isn't HTTP.
    Unframed,
    /// It resets the connection in the middle of its answer, or for every second stream does as
    /// [`Self::Closed`].
    Cut,
    /// Its stream has neither a length nor chunks and closes in order in the middle of an event.
    Closed,
    /// It is sound, sends nothing for 0.5 to 2 s and goes on.
    Silent(AnswerPhase),
    /// It sends a head with 200 and nothing else.
    HeadOnly,
    /// It sends bytes without end in place of this part.
    Endless(AnswerPhase),
    /// It resets each stream after its first event.
    Breaks,
}

/// A running stub behind a link.
pub struct UpstreamStub {
    shared: Arc<UpstreamShared>,
    link: LinkRelay,
    zone: String,
    task: AbortHandle,
}

pub(crate) struct UpstreamShared {
    sink: ObservationSink,
    state: Mutex<UpstreamState>,
    /// Changes when all connections are reset.
    epoch: watch::Sender<u64>,
    /// Number of requests during faults, affected or not.
    candidates: Mutex<u64>,
}

impl UpstreamStub {
    /// Listens on a free port as the upstream `id` of `service`.
    ///
    /// # Errors
    /// [`SoakError`] if no port is free.
    pub async fn bind(
        id: Arc<str>,
        service: &'static str,
        zone: &str,
        sink: ObservationSink,
    ) -> Result<Self, SoakError> {
        let shared = Arc::new(UpstreamShared {
            sink,
            state: Mutex::new(UpstreamState::new(id, service)),
            epoch: watch::Sender::new(0),
            candidates: Mutex::new(0),
        });
        let (address, task) = bind_wire(Arc::clone(&shared)).await?;
        let link = LinkRelay::bind(address).await?;
        Ok(Self { shared, link, zone: zone.to_owned(), task })
    }

    /// Its current id.
    pub fn id(&self) -> Arc<str> {
        Arc::clone(&self.shared.state.lock().id)
    }

    /// Its current service.
    pub fn service(&self) -> &'static str {
        self.shared.state.lock().service
    }

    /// The address at which the system reaches it.
    pub fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Changes the state of the link to it.
    pub fn set_link(&self, state: LinkState) {
        self.link.set(state);
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: Option<UpstreamFault>) {
        self.shared.state.lock().fault = fault;
    }

    /// Announces that it leaves; it keeps running until it is stopped.
    pub fn leave(&self) {
        let mut state = self.shared.state.lock();
        state.phase = UpstreamPhase::Draining;
        self.shared.sink.record(SeenEvent::UpstreamLeaves { upstream: Arc::clone(&state.id) });
    }

    /// Stops it immediately and resets all connections.
    pub fn stop(&self) {
        self.shared.state.lock().phase = UpstreamPhase::Off;
        self.shared.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Restarts it with empty memory.
    pub fn start(&self, id: Arc<str>, service: &'static str) {
        self.shared.state.lock().restart(id, service);
    }

    /// Its entry in the instance list, unless it is off.
    pub(crate) fn entry(&self) -> Option<serde_json::Value> {
        let mut state = self.shared.state.lock();
        let is_on = state.phase != UpstreamPhase::Off;
        is_on.then(|| state.entry(self.link.address(), &self.zone))
    }
}

impl Drop for UpstreamStub {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Records the end of a run when it is dropped.
struct RunGuard<'a> {
    shared: &'a UpstreamShared,
    id: Arc<str>,
    upstream: Arc<str>,
    model: String,
    body: Option<Vec<u8>>,
    epoch: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        // The counts are reset with each epoch.
        if *self.shared.epoch.borrow() == self.epoch {
            self.shared.state.lock().end_run(&self.model);
        }
        self.shared.sink.record(SeenEvent::RunEnded {
            id: Arc::clone(&self.id),
            upstream: Arc::clone(&self.upstream),
            body: self.body.take(),
        });
    }
}

impl WireHandler for UpstreamShared {
    async fn serve(&self, stream: &mut TcpStream) -> ConnectionAction {
        let mut epoch = self.epoch.subscribe();
        if self.state.lock().phase == UpstreamPhase::Off {
            return ConnectionAction::Reset;
        }
        let (read, mut write) = stream.split();
        let mut reader = BufReader::new(read);
        let serving = async {
            while let Ok(Some(request)) = WireRequest::read(&mut reader).await {
                match self.answer(&request, &mut reader, &mut write).await {
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
    async fn answer(
        &self,
        request: &WireRequest,
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
                    self.sink.record(SeenEvent::Ordered(order));
                    // An engine that is ordered to use more than its memory crashes.
                    if is_overcommitted && status == 202 {
                        return Ok(self.crash());
                    }
                }
                write_json(write, status, &serde_json::json!({})).await
            }
            _ => self.run(request, reader, write).await,
        }
    }

    fn crash(&self) -> ConnectionAction {
        let mut state = self.state.lock();
        let (id, service) = (Arc::clone(&state.id), state.service);
        state.restart(id, service);
        self.epoch.send_modify(|epoch| *epoch += 1);
        ConnectionAction::Reset
    }

    async fn run(
        &self,
        request: &WireRequest,
        reader: &mut BufReader<ReadHalf<'_>>,
        write: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<ConnectionAction> {
        let id: Arc<str> = request.header(ATTEMPT_ID).unwrap_or_default().into();
        let target = request.header(TARGET);
        let model = request.header(MODEL).unwrap_or_default();
        let epoch = *self.epoch.borrow();
        let (admission, upstream, service, fault) = {
            let mut state = self.state.lock();
            let admission = state.admit(target, model);
            (admission, Arc::clone(&state.id), state.service, state.fault)
        };
        let head = AnswerHead { id: &id, upstream: &upstream };
        match admission {
            RunAdmission::Runs => {}
            RunAdmission::Misdirected => {
                return head.refuse(write, "421 Misdirected Request").await;
            }
            RunAdmission::Busy => return head.refuse(write, "503 Service Unavailable").await,
        }
        let resumed_after = request.number("last-event-id");
        self.sink.record(SeenEvent::RunBegan {
            id: Arc::clone(&id),
            upstream: Arc::clone(&upstream),
            resumed_after,
        });
        let mut guard = RunGuard {
            shared: self,
            id: Arc::clone(&id),
            upstream: Arc::clone(&upstream),
            model: model.to_owned(),
            body: None,
            epoch,
        };
        let limit = request.number(DEADLINE);
        let limit = limit.map_or(RUN_LIMIT, Duration::from_millis).min(RUN_LIMIT);
        let is_stream = service == ENGINE_SERVICE && is_stream(&request.path);
        let fault = fault.and_then(|fault| self.take_fault(fault, is_stream));
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
        guard.body = is_correct.then_some(answer.body);
        Ok(after)
    }

    /// How long the next request's upstream is silent, if it is.
    fn silence(&self) -> Duration {
        let offset = *self.candidates.lock() * SILENCE_STEP_MS % SILENCE_SPAN_MS;
        Duration::from_millis(SILENCE_MS + offset)
    }

    /// The fault that affects the next request, if any.
    fn take_fault(&self, fault: UpstreamFault, is_stream: bool) -> Option<UpstreamFault> {
        let mut candidates = self.candidates.lock();
        *candidates += 1;
        let is_second = candidates.is_multiple_of(2 * FAULT_SHARE);
        match fault {
            UpstreamFault::Breaks => is_stream.then_some(fault),
            _ if !candidates.is_multiple_of(FAULT_SHARE) => None,
            UpstreamFault::Cut if is_stream && is_second => Some(UpstreamFault::Closed),
            fault => Some(fault),
        }
    }
}

/// The bytes that a faulty upstream repeats without end.
fn endless_piece(phase: AnswerPhase) -> Vec<u8> {
    match phase {
        AnswerPhase::Head => ENDLESS_PIECE.to_vec(),
        _ => {
            let size = format!("{:x}\r\n", ENDLESS_PIECE.len());
            [size.as_bytes(), &ENDLESS_PIECE, b"\r\n"].concat()
        }
    }
}

async fn wait_closed(reader: &mut BufReader<ReadHalf<'_>>) {
    // A pipelined request waits until this one is answered.
    if let Ok([_, ..]) = reader.fill_buf().await {
        std::future::pending::<()>().await;
    }
}

/// Data for the head of any answer to one request.
struct AnswerHead<'a> {
    id: &'a str,
    upstream: &'a str,
}

/// An answer in chunks, with a pause before each.
struct PlannedAnswer {
    chunks: Vec<Vec<u8>>,
    /// Size of the head, which the first chunk begins with, in bytes.
    head_size: usize,
    pause: Duration,
    /// The complete body.
    body: Vec<u8>,
}

impl AnswerHead<'_> {
    fn text(&self, framing: &str, fault: Option<UpstreamFault>) -> String {
        let status = match fault {
            Some(UpstreamFault::Fail) => "500 Internal Server Error",
            _ => "200 OK",
        };
        let id = match fault {
            Some(UpstreamFault::Crossed) => format!("other-{}", self.id),
            _ => self.id.to_owned(),
        };
        format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT_ID}: {id}\r\n\
             {SIGNATURE}: {}.{id}\r\n{framing}\r\n\r\n",
            self.upstream
        )
    }

    async fn refuse(
        &self,
        write: &mut (impl AsyncWrite + Unpin),
        status: &str,
    ) -> io::Result<ConnectionAction> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT_ID}: {}\r\n{NOT_EXECUTED}: 1\r\n\
             {INSTANCE}: {}\r\ncontent-length: 0\r\n\r\n",
            self.id, self.upstream
        );
        write.write_all(head.as_bytes()).await?;
        Ok(ConnectionAction::Keep)
    }

    fn plain(&self, request: &WireRequest, fault: Option<UpstreamFault>) -> PlannedAnswer {
        let (extra, pause) = parse_workload(&request.path).unwrap_or(DEFAULT_ANSWER);
        let mut body = format!("{} {}\n", self.id, request.body.len()).into_bytes();
        body.resize(body.len() + usize::try_from(extra).unwrap_or_default(), b'.');
        let framing = match fault {
            Some(UpstreamFault::Endless(_)) => "transfer-encoding: chunked".to_owned(),
            _ => format!("content-length: {}", body.len()),
        };
        let head = self.text(&framing, fault);
        let chunks = vec![[head.as_bytes(), &body].concat()];
        let head_size = head.len();
        PlannedAnswer { chunks, head_size, pause: Duration::from_millis(pause), body }
    }

    fn stream(
        &self,
        request: &WireRequest,
        resumed_after: u64,
        fault: Option<UpstreamFault>,
    ) -> PlannedAnswer {
        let (count, pause) = parse_workload(&request.path).unwrap_or(DEFAULT_STREAM);
        let is_closed = fault == Some(UpstreamFault::Closed);
        let framing = match is_closed {
            true => "content-type: text/event-stream",
            false => "content-type: text/event-stream\r\ntransfer-encoding: chunked",
        };
        let event = |number: u64| format!("id: {number}\ndata: {}-{number}\n\n", self.id);
        let events: Vec<String> = (resumed_after + 1..=count).map(event).collect();
        let mut chunks = vec![self.text(framing, fault).into_bytes()];
        let head_size = chunks[0].len();
        if is_closed {
            chunks.extend(events.iter().map(|event| event.clone().into_bytes()));
        } else {
            let encoded = events.iter().map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
            chunks.extend(encoded.map(String::into_bytes));
            chunks.push(b"0\r\n\r\n".to_vec());
        }
        let body = events.concat().into_bytes();
        PlannedAnswer { chunks, head_size, pause: Duration::from_millis(pause), body }
    }
}

impl PlannedAnswer {
    /// The chunk in which a fault acts, and the number of its bytes that are sent before.
    fn fault_position(&self, fault: Option<UpstreamFault>) -> Option<(usize, usize)> {
        let middle = self.chunks.len() / 2;
        let size = self.chunks[middle].len();
        match fault? {
            UpstreamFault::Hang => Some((middle, 0)),
            UpstreamFault::Cut | UpstreamFault::Closed => Some((middle, size / 2)),
            UpstreamFault::Silent(AnswerPhase::Head)
            | UpstreamFault::Endless(AnswerPhase::Head) => Some((0, 0)),
            UpstreamFault::Silent(AnswerPhase::Middle) if middle > 0 => Some((middle, size / 2)),
            UpstreamFault::Silent(AnswerPhase::Middle) => Some((0, self.head_size.midpoint(size))),
            UpstreamFault::Endless(AnswerPhase::Middle) if middle > 0 => Some((middle, 0)),
            UpstreamFault::Silent(_) | UpstreamFault::Endless(_) | UpstreamFault::HeadOnly => {
                Some((0, self.head_size))
            }
            // An answer that only has its end left is sent whole.
            UpstreamFault::Breaks if self.chunks.len() > 2 => Some((1, self.chunks[1].len())),
            _ => None,
        }
    }

    async fn write(
        &self,
        to: &mut (impl AsyncWrite + Unpin),
        fault: Option<UpstreamFault>,
        silence: Duration,
    ) -> io::Result<ConnectionAction> {
        match fault {
            Some(UpstreamFault::Late) => tokio::time::sleep(LATE_DELAY).await,
            Some(UpstreamFault::Unframed) => {
                to.write_all(b"\x00\x17unframed\r\n\r\n").await?;
                return Ok(ConnectionAction::Close);
            }
            _ => {}
        }
        let position = self.fault_position(fault);
        for (number, chunk) in self.chunks.iter().enumerate() {
            tokio::time::sleep(self.pause).await;
            let (_, size) = position.filter(|(at, _)| *at == number).unwrap_or((0, chunk.len()));
            to.write_all(&chunk[..size]).await?;
            match fault.filter(|_| position.is_some_and(|(at, _)| at == number)) {
                Some(UpstreamFault::Hang | UpstreamFault::HeadOnly) => std::future::pending().await,
                Some(UpstreamFault::Cut | UpstreamFault::Breaks) => {
                    // Data written immediately before a reset may be lost.
                    tokio::time::sleep(self.pause).await;
                    return Ok(ConnectionAction::Reset);
                }
                Some(UpstreamFault::Closed) => return Ok(ConnectionAction::Close),
                Some(UpstreamFault::Silent(_)) => tokio::time::sleep(silence).await,
                Some(UpstreamFault::Endless(phase)) => {
                    if phase == AnswerPhase::Head {
                        to.write_all(b"HTTP/1.1 200 OK\r\nx-endless: ").await?;
                    }
                    let piece = endless_piece(phase);
                    loop {
                        to.write_all(&piece).await?;
                        tokio::time::sleep(ENDLESS_PAUSE).await;
                    }
                }
                _ => {}
            }
            to.write_all(&chunk[size..]).await?;
        }
        if fault == Some(UpstreamFault::Doubled) {
            to.write_all(&self.chunks.concat()).await?;
        }
        Ok(ConnectionAction::Keep)
    }
}

fn is_stream(path: &str) -> bool {
    let prefixes = [RESUMABLE_PREFIX, LIMITED_PREFIX, CLOSED_PREFIX];
    prefixes.iter().any(|prefix| path.starts_with(prefix))
}

/// Parses the workload `AxB` at the end of a path.
fn parse_workload(path: &str) -> Option<(u64, u64)> {
    let (_, last) = path.rsplit_once('/')?;
    let (count, pause) = last.split_once('x')?;
    Some((count.parse().ok()?, pause.parse().ok()?))
}
