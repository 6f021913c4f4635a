//! Observations of callers, stubs and operators.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::mpsc;

use crate::TeamKey;

/// Whether a request without an answer may be repeated or resumed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream that may be resumed at another upstream.
    ResumableStream,
    /// A stream that runs at most once.
    ClosedStream,
}

/// The end of an exchange, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub enum CallEnd {
    /// An answer arrived.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether it is complete.
        is_whole: bool,
        /// The id that the answer repeats.
        answered_id: Option<Arc<str>>,
        /// The upstream that signed it.
        signed_by: Option<Arc<str>>,
        /// The body.
        body: Vec<u8>,
        /// The time in `retry-after`.
        retry_after: Option<Duration>,
    },
    /// The connection ended before the head of an answer.
    Closed,
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The caller disconnected.
    Left,
    /// No complete answer arrived before the caller gave up, well after its deadline.
    TimedOut,
}

/// An order at an upstream stub, and its result.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SeenOrder {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Memory of loaded and loading models after the order, in megabytes.
    pub held_mb: u64,
    /// The upstream's total memory for models, in megabytes.
    pub room_mb: u64,
    /// The lease holder that sent the order.
    pub holder: Arc<str>,
    /// The fencing number.
    pub fencing: u64,
    /// Whether the order started a load from the weight store.
    pub is_store_load: bool,
    /// The HTTP status of the answer.
    pub status: u16,
}

/// An event of the system, its callers or its environment.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub enum SeenEvent {
    /// A caller is about to send a request to a process, on a new or a reused connection.
    CallBegan {
        /// The request id.
        id: Arc<str>,
        /// The process.
        process: Arc<str>,
    },
    /// A caller has sent a complete request.
    CallSent {
        /// The request id.
        id: Arc<str>,
        /// Whether it may be repeated or resumed.
        kind: CallKind,
        /// The process that it was sent to.
        process: Arc<str>,
        /// The caller's deadline, counted from the start of the exchange.
        deadline: Duration,
        /// Whether the connection has been used before.
        is_kept: bool,
        /// Maximum number of upstreams at which it may run.
        max_engines: usize,
    },
    /// A caller is about to send a request behind others on its connection, whose answers come first.
    CallQueued {
        /// The request id.
        id: Arc<str>,
    },
    /// All answers before that to a queued request have arrived completely.
    CallTurn {
        /// The request id.
        id: Arc<str>,
    },
    /// A caller takes the answer to a request slowly, by its link or because it stops reading.
    CallSlowed {
        /// The request id.
        id: Arc<str>,
        /// Time for which the caller reads nothing.
        by: Duration,
    },
    /// A caller's exchange ended.
    CallEnded {
        /// The request id.
        id: Arc<str>,
        /// The outcome.
        end: CallEnd,
    },
    /// A caller is about to send a request of a run with teams.
    KeySent {
        /// The request id.
        id: Arc<str>,
        /// The key in it.
        key: TeamKey,
    },
    /// A request of a caller that tries keys was answered completely.
    KeyAnswered {
        /// The request id.
        id: Arc<str>,
        /// The process that answered it.
        process: Arc<str>,
        /// The HTTP status.
        status: u16,
    },
    /// An upstream read the head of a request that it runs.
    IdentitySeen {
        /// The request id.
        id: Arc<str>,
        /// The team named in it.
        team: Option<Arc<str>>,
        /// Whether it contains a key.
        has_key: bool,
    },
    /// An upstream began to run a request.
    RunBegan {
        /// The request's id.
        id: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The last event before the resumption, if the run resumes a stream.
        resumed_after: Option<u64>,
    },
    /// An upstream's run ended.
    RunEnded {
        /// The request's id.
        id: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The body, if the upstream sent a complete and correct answer.
        body: Option<Vec<u8>>,
    },
    /// An upstream announced that it leaves. It must get no new work once that has propagated.
    UpstreamLeaves {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// An upstream received an order.
    Ordered(SeenOrder),
    /// A change was sent to a control instance.
    ChangeSent {
        /// Its version.
        version: u64,
        /// The control instance.
        process: Arc<str>,
    },
    /// A change was acknowledged.
    ChangeAcknowledged {
        /// Its version.
        version: u64,
    },
    /// A control instance was queried for the configuration, and answered with this version.
    ChangeRead {
        /// When it was queried.
        asked: Duration,
        /// The control instance.
        process: Arc<str>,
        /// The version; `None` if it couldn't confirm one.
        version: Option<u64>,
    },
    /// A control instance acknowledged an invalid configuration.
    InvalidAccepted {
        /// Its version, which no valid configuration has.
        version: u64,
        /// The control instance.
        process: Arc<str>,
    },
    /// An ingress instance handled a probe by this version of the configuration.
    ChangeObserved {
        /// When the probe was sent.
        sent: Duration,
        /// The ingress instance.
        process: Arc<str>,
        /// The version.
        version: u64,
    },
    /// A process was probed for its readiness.
    Readiness {
        /// The process.
        process: Arc<str>,
        /// Its answer; `None` if it didn't answer.
        is_ready: Option<bool>,
    },
    /// A process uses more memory of its own than ever since its start.
    MemoryUsed {
        /// The process.
        process: Arc<str>,
        /// The memory, in megabytes.
        mb: u64,
    },
    /// A process was started.
    ProcessStarted {
        /// The process.
        process: Arc<str>,
    },
    /// A process was sent SIGTERM.
    ProcessTerminated {
        /// The process.
        process: Arc<str>,
        /// The time until it is killed.
        grace: Duration,
    },
    /// A process exited.
    ProcessEnded {
        /// The process.
        process: Arc<str>,
        /// Its exit code; `None` after a signal.
        code: Option<i32>,
        /// Whether the soak killed it.
        was_killed: bool,
    },
    /// A fault began.
    FaultBegan {
        /// Its kind.
        kind: Arc<str>,
        /// Its target.
        target: Arc<str>,
    },
    /// A fault ended; its effects may last longer.
    FaultEnded {
        /// Its kind.
        kind: Arc<str>,
        /// Its target.
        target: Arc<str>,
    },
    /// No more faults are injected.
    LastFaultEnded,
}

impl SeenEvent {
    /// Shortens bodies, which may be large, to their first `length` bytes.
    pub(crate) fn shorten_bodies(&mut self, length: usize) {
        match self {
            Self::CallEnded { end: CallEnd::Answered { body, .. }, .. }
            | Self::RunEnded { body: Some(body), .. } => body.truncate(length),
            _ => {}
        }
    }
}

/// One event with its time.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Observation {
    /// The time since the start of the run.
    pub at: Duration,
    /// The event.
    pub event: SeenEvent,
}

/// Sends observations to the checker; cheap to clone.
#[derive(Clone, Debug)]
pub struct ObservationSink {
    start: Instant,
    sender: mpsc::UnboundedSender<Observation>,
}

impl ObservationSink {
    /// Opens a channel to a checker; the run starts now.
    pub fn open() -> (Self, mpsc::UnboundedReceiver<Observation>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { start: Instant::now(), sender }, receiver)
    }

    /// The time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an event with the current time.
    pub fn record(&self, event: SeenEvent) {
        // An error only means that no checker is listening.
        let _ = self.sender.send(Observation { at: self.now(), event });
    }
}
