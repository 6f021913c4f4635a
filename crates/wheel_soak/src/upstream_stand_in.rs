//! An upstream of the system under test, and what it does wrong.
//!
//! The last part of a request's path says how much work it is: `AxB` are A events with B milliseconds
//! before each, or, of a plain answer, A more bytes after B milliseconds.

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

use crate::config_document::{CLOSED_PREFIX, ENGINE_SERVICE, RESUMABLE_PREFIX};
use crate::upstream_state::{RunAdmission, UpstreamPhase, UpstreamState};
use crate::wire_request::WireRequest;
use crate::wire_server::{AfterAnswer, WireHandler, bind_wire, write_json};
use crate::{ObservationSink, SeenEvent, SoakError};

/// Events of a stream whose path doesn't say, and the time before each.
const USUAL_STREAM: (u64, u64) = (5, 50);
/// The same of a plain answer.
const USUAL_ANSWER: (u64, u64) = (0, 20);
/// What a late answer takes longer.
const LATENESS: Duration = Duration::from_millis(2_500);
/// The longest time that a run takes if its request names none.
const RUN_LIMIT: Duration = Duration::from_secs(20);
/// Of requests during a fault, one in this many meets it.
const FAULT_SHARE: u64 = 2;

/// What an upstream does wrong with some of its requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// It begins a run and says nothing more.
    Hang,
    /// It answers seconds late.
    Late,
    /// It answers 500.
    Fail,
    /// Its answer names another request.
    Crossed,
    /// Its answer is followed by the same answer again.
    Doubled,
    /// Its answer isn't HTTP.
    Unframed,
    /// It resets the connection in the middle of its answer.
    Cut,
}

/// A listening stand-in behind a link.
pub struct UpstreamStandIn {
    shared: Arc<UpstreamShared>,
    link: LinkRelay,
    zone: String,
    task: AbortHandle,
}

pub(crate) struct UpstreamShared {
    sink: ObservationSink,
    state: Mutex<UpstreamState>,
    /// Changes when all connections break off.
    life: watch::Sender<u64>,
    /// Requests that met a fault or were spared.
    met: Mutex<u64>,
}

impl UpstreamStandIn {
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
            life: watch::Sender::new(0),
            met: Mutex::new(0),
        });
        let (address, task) = bind_wire(Arc::clone(&shared)).await?;
        let link = LinkRelay::bind(address).await?;
        Ok(Self { shared, link, zone: zone.to_owned(), task })
    }

    /// Its id in this life.
    pub fn id(&self) -> Arc<str> {
        Arc::clone(&self.shared.state.lock().id)
    }

    /// Its service in this life.
    pub fn service(&self) -> &'static str {
        self.shared.state.lock().service
    }

    /// Where the system reaches it.
    pub fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Changes the link before it.
    pub fn set_link(&self, state: LinkState) {
        self.link.set(state);
    }

    /// From now on it does this wrong, or nothing.
    pub fn set_fault(&self, fault: Option<UpstreamFault>) {
        self.shared.state.lock().fault = fault;
    }

    /// It is told to leave, and goes on for a while.
    pub fn leave(&self) {
        let mut state = self.shared.state.lock();
        state.phase = UpstreamPhase::Draining;
        self.shared.sink.note(SeenEvent::UpstreamLeaves { upstream: Arc::clone(&state.id) });
    }

    /// It ends at once, with all it has in hand.
    pub fn stop(&self) {
        self.shared.state.lock().phase = UpstreamPhase::Off;
        self.shared.life.send_modify(|life| *life += 1);
    }

    /// It starts again, empty.
    pub fn start(&self, id: Arc<str>, service: &'static str) {
        self.shared.state.lock().begin_life(id, service);
    }

    /// Its entry on the list, unless it is off.
    pub(crate) fn entry(&self) -> Option<serde_json::Value> {
        let mut state = self.shared.state.lock();
        let is_on = state.phase != UpstreamPhase::Off;
        is_on.then(|| state.entry(self.link.address(), &self.zone))
    }
}

impl Drop for UpstreamStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Tells a run's end, whatever ends it.
struct RunGuard<'a> {
    shared: &'a UpstreamShared,
    id: Arc<str>,
    upstream: Arc<str>,
    model: String,
    body: Option<Vec<u8>>,
    life: u64,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        // A new life has counts of its own.
        if *self.shared.life.borrow() == self.life {
            self.shared.state.lock().end_run(&self.model);
        }
        self.shared.sink.note(SeenEvent::RunEnded {
            id: Arc::clone(&self.id),
            upstream: Arc::clone(&self.upstream),
            body: self.body.take(),
        });
    }
}

impl WireHandler for UpstreamShared {
    async fn converse(&self, stream: &mut TcpStream) -> AfterAnswer {
        let mut life = self.life.subscribe();
        if self.state.lock().phase == UpstreamPhase::Off {
            return AfterAnswer::Reset;
        }
        let (read, mut write) = stream.split();
        let mut reader = BufReader::new(read);
        let serving = async {
            while let Ok(Some(request)) = WireRequest::read(&mut reader).await {
                match self.answer(&request, &mut reader, &mut write).await {
                    Ok(AfterAnswer::Keep) => {}
                    Ok(after) => return after,
                    Err(_) => return AfterAnswer::Reset,
                }
            }
            AfterAnswer::Close
        };
        tokio::select! {
            after = serving => after,
            _ = life.changed() => AfterAnswer::Reset,
        }
    }
}

impl UpstreamShared {
    async fn answer(
        &self,
        request: &WireRequest,
        reader: &mut BufReader<ReadHalf<'_>>,
        write: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<AfterAnswer> {
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
                    let is_over = order.held_mb > order.room_mb;
                    self.sink.note(SeenEvent::Ordered(order));
                    // An engine that is ordered beyond its memory crashes.
                    if is_over && status == 202 {
                        return Ok(self.crash());
                    }
                }
                write_json(write, status, &serde_json::json!({})).await
            }
            _ => self.run(request, reader, write).await,
        }
    }

    fn crash(&self) -> AfterAnswer {
        let mut state = self.state.lock();
        let (id, service) = (Arc::clone(&state.id), state.service);
        state.begin_life(id, service);
        self.life.send_modify(|life| *life += 1);
        AfterAnswer::Reset
    }

    async fn run(
        &self,
        request: &WireRequest,
        reader: &mut BufReader<ReadHalf<'_>>,
        write: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<AfterAnswer> {
        let id: Arc<str> = request.header(ATTEMPT_ID).unwrap_or_default().into();
        let target = request.header(TARGET);
        let model = request.header(MODEL).unwrap_or_default();
        let life = *self.life.borrow();
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
        self.sink.note(SeenEvent::RunBegan {
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
            life,
        };
        let limit = request.number(DEADLINE);
        let limit = limit.map_or(RUN_LIMIT, Duration::from_millis).min(RUN_LIMIT);
        let fault = fault.filter(|_| self.meets_fault());
        let answer = match service {
            ENGINE_SERVICE if is_stream(&request.path) => {
                head.stream(request, resumed_after.unwrap_or_default(), fault)
            }
            _ => head.plain(request, fault),
        };
        // Most engines drop a request when its connection closes, and all do so at its deadline.
        let after = tokio::select! {
            written = answer.write(write, fault) => written?,
            () = tokio::time::sleep(limit) => return Ok(AfterAnswer::Reset),
            () = until_closed(reader) => return Ok(AfterAnswer::Reset),
        };
        let is_right = after == AfterAnswer::Keep && fault != Some(UpstreamFault::Crossed);
        guard.body = is_right.then_some(answer.body);
        Ok(after)
    }

    fn meets_fault(&self) -> bool {
        let mut met = self.met.lock();
        *met += 1;
        met.is_multiple_of(FAULT_SHARE)
    }
}

async fn until_closed(reader: &mut BufReader<ReadHalf<'_>>) {
    // A further request waits until this one is answered.
    if let Ok([_, ..]) = reader.fill_buf().await {
        std::future::pending::<()>().await;
    }
}

/// What the answers to one request have in common.
struct AnswerHead<'a> {
    id: &'a str,
    upstream: &'a str,
}

/// An answer in pieces, with a pause before each.
struct PlannedAnswer {
    pieces: Vec<Vec<u8>>,
    pause: Duration,
    /// All that the answer says.
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
    ) -> io::Result<AfterAnswer> {
        let head = format!(
            "HTTP/1.1 {status}\r\n{ATTEMPT_ID}: {}\r\n{NOT_EXECUTED}: 1\r\n\
             {INSTANCE}: {}\r\ncontent-length: 0\r\n\r\n",
            self.id, self.upstream
        );
        write.write_all(head.as_bytes()).await?;
        Ok(AfterAnswer::Keep)
    }

    fn plain(&self, request: &WireRequest, fault: Option<UpstreamFault>) -> PlannedAnswer {
        let (more, pause) = amount(&request.path).unwrap_or(USUAL_ANSWER);
        let mut body = format!("{} {}\n", self.id, request.body.len()).into_bytes();
        body.resize(body.len() + usize::try_from(more).unwrap_or_default(), b'.');
        let head = self.text(&format!("content-length: {}", body.len()), fault);
        let pieces = vec![[head.as_bytes(), &body].concat()];
        PlannedAnswer { pieces, pause: Duration::from_millis(pause), body }
    }

    fn stream(
        &self,
        request: &WireRequest,
        resumed_after: u64,
        fault: Option<UpstreamFault>,
    ) -> PlannedAnswer {
        let (count, pause) = amount(&request.path).unwrap_or(USUAL_STREAM);
        let framing = "content-type: text/event-stream\r\ntransfer-encoding: chunked";
        let event = |number: u64| format!("id: {number}\ndata: {}-{number}\n\n", self.id);
        let events: Vec<String> = (resumed_after + 1..=count).map(event).collect();
        let chunks = events.iter().map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
        let ends = [self.text(framing, fault), "0\r\n\r\n".to_owned()];
        let [head, end] = ends.map(String::into_bytes);
        let mut pieces = vec![head];
        pieces.extend(chunks.map(String::into_bytes));
        pieces.push(end);
        let body = events.concat().into_bytes();
        PlannedAnswer { pieces, pause: Duration::from_millis(pause), body }
    }
}

impl PlannedAnswer {
    async fn write(
        &self,
        to: &mut (impl AsyncWrite + Unpin),
        fault: Option<UpstreamFault>,
    ) -> io::Result<AfterAnswer> {
        match fault {
            Some(UpstreamFault::Late) => tokio::time::sleep(LATENESS).await,
            Some(UpstreamFault::Unframed) => {
                to.write_all(b"\x00\x17unframed\r\n\r\n").await?;
                return Ok(AfterAnswer::Close);
            }
            _ => {}
        }
        let middle = self.pieces.len() / 2;
        for (number, piece) in self.pieces.iter().enumerate() {
            tokio::time::sleep(self.pause).await;
            match fault {
                Some(UpstreamFault::Hang) if number == middle => std::future::pending().await,
                Some(UpstreamFault::Cut) if number == middle => {
                    to.write_all(&piece[..piece.len() / 2]).await?;
                    // What was written just before a reset may be lost with it.
                    tokio::time::sleep(self.pause).await;
                    return Ok(AfterAnswer::Reset);
                }
                _ => to.write_all(piece).await?,
            }
        }
        if fault == Some(UpstreamFault::Doubled) {
            to.write_all(&self.pieces.concat()).await?;
        }
        Ok(AfterAnswer::Keep)
    }
}

fn is_stream(path: &str) -> bool {
    path.starts_with(RESUMABLE_PREFIX) || path.starts_with(CLOSED_PREFIX)
}

/// Reads `AxB` at a path's end.
fn amount(path: &str) -> Option<(u64, u64)> {
    let (_, last) = path.rsplit_once('/')?;
    let (count, pause) = last.split_once('x')?;
    Some((count.parse().ok()?, pause.parse().ok()?))
}
