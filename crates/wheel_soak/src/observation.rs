//! What callers, stand-ins and the operator saw.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::mpsc;

/// What may be done with a request that has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream that may go on at another upstream.
    ResumableStream,
    /// A stream that runs at most once.
    ClosedStream,
}

/// How an exchange ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub enum CallEnd {
    /// An answer came.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether it came to its proper end.
        is_whole: bool,
        /// The id that the answer repeats.
        answered_id: Option<Arc<str>>,
        /// The upstream that signed it.
        signed_by: Option<Arc<str>>,
        /// The body's bytes.
        body: Vec<u8>,
        /// When to come back, if the answer says so.
        retry_after: Option<Duration>,
    },
    /// The connection ended without an answer's head.
    Closed,
    /// No connection was made, so that nothing was sent.
    NotConnected,
    /// The caller left.
    Left,
    /// Nothing came until the caller gave up, well after its deadline.
    TimedOut,
}

/// What an upstream stand-in did with an order.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct SeenOrder {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The upstream's own memory, in megabytes, that all it holds and loads takes after the order.
    pub held_mb: u64,
    /// What it has room for, in megabytes.
    pub room_mb: u64,
    /// Who ordered.
    pub holder: Arc<str>,
    /// The fencing number.
    pub fencing: u64,
    /// Whether a load from the weight store began.
    pub is_store_load: bool,
    /// The status that it was answered with.
    pub status: u16,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub enum SeenEvent {
    /// A caller is about to send a request to a process, on a new or a kept connection.
    CallBegan {
        /// Its id.
        id: Arc<str>,
        /// The process.
        process: Arc<str>,
    },
    /// A caller has sent a whole request.
    CallSent {
        /// Its id.
        id: Arc<str>,
        /// What may be repeated.
        kind: CallKind,
        /// The process that it was sent to.
        process: Arc<str>,
        /// The caller's time.
        deadline: Duration,
        /// Whether the connection is kept and was used before.
        is_kept: bool,
    },
    /// A caller's exchange ended.
    CallEnded {
        /// Its id.
        id: Arc<str>,
        /// How.
        end: CallEnd,
    },
    /// An upstream began to run a request.
    RunBegan {
        /// The request's id.
        id: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The event after which a resumed stream goes on.
        resumed_after: Option<u64>,
    },
    /// An upstream's run ended.
    RunEnded {
        /// The request's id.
        id: Arc<str>,
        /// The upstream.
        upstream: Arc<str>,
        /// The whole body, if the upstream gave it and broke nothing.
        body: Option<Vec<u8>>,
    },
    /// An upstream was told to leave: no new work from now on, but for the time in which that is told.
    UpstreamLeaves {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// An upstream got an order.
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
    /// A control instance was asked for the configuration at `asked`, and answered with this version.
    ChangeRead {
        /// When it was asked.
        asked: Duration,
        /// The control instance.
        process: Arc<str>,
        /// The version; `None` if it wasn't sure.
        version: Option<u64>,
    },
    /// A control instance acknowledged a configuration that it had to refuse.
    InvalidAccepted {
        /// Its version, which no valid one has.
        version: u64,
        /// The control instance.
        process: Arc<str>,
    },
    /// An entry handled a probe by this version of the configuration.
    ChangeObserved {
        /// When the probe was sent.
        sent: Duration,
        /// The entry.
        process: Arc<str>,
        /// The version.
        version: u64,
    },
    /// A process said whether it is ready.
    Readiness {
        /// The process.
        process: Arc<str>,
        /// What it said; `None` if it didn't answer.
        is_ready: Option<bool>,
    },
    /// A process was started.
    ProcessStarted {
        /// The process.
        process: Arc<str>,
    },
    /// A process was told to end.
    ProcessTerminated {
        /// The process.
        process: Arc<str>,
        /// The time until it is killed.
        grace: Duration,
    },
    /// A process ended.
    ProcessEnded {
        /// The process.
        process: Arc<str>,
        /// Its exit code; `None` after a signal.
        code: Option<i32>,
        /// Whether the soak ended it at once.
        was_killed: bool,
    },
    /// A fault began to act.
    FaultBegan {
        /// Its kind.
        kind: Arc<str>,
        /// On whom.
        target: Arc<str>,
    },
    /// A fault ended; what it did may last.
    FaultEnded {
        /// Its kind.
        kind: Arc<str>,
        /// On whom.
        target: Arc<str>,
    },
    /// No fault is injected any more.
    LastFaultEnded,
}

/// One event with its time since the run began.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Observation {
    /// When.
    pub at: Duration,
    /// What.
    pub event: SeenEvent,
}

/// Tells the checker what happened; cheap to clone.
#[derive(Clone, Debug)]
pub struct ObservationSink {
    start: Instant,
    sender: mpsc::UnboundedSender<Observation>,
}

impl ObservationSink {
    /// Opens the way to a checker, from now on.
    pub fn open() -> (Self, mpsc::UnboundedReceiver<Observation>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { start: Instant::now(), sender }, receiver)
    }

    /// The time since the run began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Notes an event that happens now.
    pub fn note(&self, event: SeenEvent) {
        // Without a checker there is nobody to tell.
        let _ = self.sender.send(Observation { at: self.now(), event });
    }
}
