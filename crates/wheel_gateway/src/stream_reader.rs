//! Reads a stream from one upstream.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use wheel_memory::{BudgetScope, ByteLease};
use wheel_seams::is_planted;
use wheel_upstream::{AnswerBody, ArrivalClock};

use crate::event_fields::EventFields;
use crate::{EventSplitter, IngressDialect, RequestGuard};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of a body that isn't made of events, in bytes; the same as of any other failure.
const MAX_OPAQUE_BYTES: usize = 4 << 20;

/// How a stream is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamKind {
    /// Events, which another engine can resume.
    Resumable,
    /// Events that only their own engine can deliver.
    Final,
    /// Bytes that aren't events, such as those of a failure.
    Opaque,
}

/// Why an upstream's stream can't be read any further.
#[derive(Debug)]
pub(crate) struct StreamFault {
    pub(crate) reason: String,
    /// How the upstream ended the connection, if it was the upstream that did.
    pub(crate) broken: Option<&'static str>,
    /// Whether the bytes can't be an answer.
    pub(crate) is_no_answer: bool,
}

/// Reads a stream in complete events. One that ends inside an event has broken off, however its
/// connection ends.
pub(crate) struct StreamReader {
    /// The body, and the guard that counts the request as open; `None` after the end.
    source: Option<(AnswerBody, RequestGuard)>,
    splitter: EventSplitter,
    /// Covers the bytes of the splitter.
    lease: ByteLease,
    ready: VecDeque<Bytes>,
    kind: StreamKind,
    dialect: Arc<dyn IngressDialect>,
    /// Bytes that were read of a body that isn't made of events.
    opaque_bytes: usize,
    /// Events with data in the last chunk.
    new_events: u32,
    /// Whether the upstream has sent a complete event that the caller doesn't have.
    has_event: bool,
    /// Whether the caller has events of the stream that came before this body.
    is_continuation: bool,
    /// Whether the upstream has sent an event that the caller has.
    has_repeated: bool,
    /// The id of the last event that this upstream sent.
    last_sent: Option<u64>,
    /// The id of the last event that was made ready, by this upstream or one before.
    last: Option<u64>,
    /// What ends the stream after the events that are ready.
    fault: Option<StreamFault>,
}

impl StreamFault {
    /// A fault in the bytes that the upstream sends.
    fn of_content(reason: impl Into<String>) -> Self {
        Self { reason: reason.into(), broken: None, is_no_answer: true }
    }
}

impl StreamReader {
    /// Begins to read; events up to the id `last` are skipped if the stream is resumable.
    pub(crate) fn begin(
        body: AnswerBody,
        guard: RequestGuard,
        dialect: Arc<dyn IngressDialect>,
        kind: StreamKind,
        last: Option<u64>,
    ) -> Self {
        Self {
            lease: body.lease(),
            source: Some((body, guard)),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            kind,
            dialect,
            opaque_bytes: 0,
            new_events: 0,
            has_event: false,
            is_continuation: false,
            has_repeated: false,
            last_sent: None,
            last: last.filter(|_| kind == StreamKind::Resumable),
            fault: None,
        }
    }

    /// Begins to read the rest of a stream of which the caller has the events up to the id `last`.
    /// It must hold a further event.
    pub(crate) fn resume(
        body: AnswerBody,
        guard: RequestGuard,
        dialect: Arc<dyn IngressDialect>,
        last: Option<u64>,
    ) -> Self {
        let begun = Self::begin(body, guard, dialect, StreamKind::Resumable, last);
        Self { is_continuation: true, ..begun }
    }

    /// Reads until complete events are ready or the stream has ended. Comments are kept until the
    /// first event is complete. Cancel-safe.
    ///
    /// # Errors
    /// [`StreamFault`] if the stream breaks off or its content is malformed.
    pub(crate) async fn fill(&mut self) -> Result<(), StreamFault> {
        while (self.ready.is_empty() || !self.has_event) && !self.is_ended() {
            self.read().await?;
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), StreamFault> {
        if let Some(fault) = self.fault.take() {
            return Err(fault);
        }
        self.lease_kept_bytes()?;
        let Some((body, guard)) = &mut self.source else { return Ok(()) };
        guard.meter().inspect(|meter| meter.begin_read());
        match body.next().await {
            Ok(Some(chunk)) => {
                let is_complete = body.is_complete();
                self.push_chunk(chunk)?;
                // Reported after the events that are ready.
                if is_complete && self.fault.is_none() {
                    self.fault = self.end_body().err();
                }
                Ok(())
            }
            Ok(None) => self.end_body(),
            Err(failure) => {
                let broken = failure.is_closed_by_upstream().then_some("stream_cut");
                let is_no_answer = failure.is_no_answer();
                Err(StreamFault { reason: failure.to_string(), broken, is_no_answer })
            }
        }
    }

    /// Whether complete events are ready.
    pub(crate) fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes complete events that are ready.
    pub(crate) fn take_ready(&mut self) -> Option<Bytes> {
        self.ready.pop_front()
    }

    /// Stops reading and closes the call; complete events that are ready are kept.
    pub(crate) fn close(&mut self) {
        self.source = None;
    }

    /// Whether nothing more is read.
    pub(crate) fn is_ended(&self) -> bool {
        self.source.is_none()
    }

    /// When bytes of the body arrived; `None` after the end.
    pub(crate) fn arrivals(&self) -> Option<ArrivalClock> {
        self.source.as_ref().map(|(body, _)| body.arrivals().clone())
    }

    /// How the stream is forwarded; a resumable one becomes final once it has an event without an
    /// id, since nothing tells another upstream where it goes on.
    pub(crate) fn kind(&self) -> StreamKind {
        self.kind
    }

    /// Whether the upstream has sent a complete event that the caller didn't have.
    pub(crate) fn has_event(&self) -> bool {
        self.has_event
    }

    /// The id of the last event that was made ready.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of bytes after the last complete event.
    pub(crate) fn partial_len(&self) -> usize {
        self.splitter.partial_len()
    }

    /// Takes memory for the bytes that are kept until their event, or the first one, is complete.
    fn lease_kept_bytes(&mut self) -> Result<(), StreamFault> {
        let bytes = self.splitter.buffered_len() + self.ready.iter().map(Bytes::len).sum::<usize>();
        if bytes > MAX_EVENT_BYTES {
            return Err(StreamFault::of_content("an event is too large"));
        }
        self.lease.resize(bytes).map_err(|refused| StreamFault {
            reason: format!("no memory for an event: {refused}"),
            broken: None,
            is_no_answer: refused.scope == BudgetScope::Part,
        })
    }

    /// Ends the stream at the end of its upstream's body; an error if the body isn't complete.
    fn end_body(&mut self) -> Result<(), StreamFault> {
        let partial = self.splitter.partial_len();
        let has_explicit_end =
            self.source.as_ref().is_some_and(|(body, _)| body.framing().has_explicit_end());
        let broken = Some("stream_ended_early");
        let fault = match self.kind {
            StreamKind::Opaque => None,
            _ if partial > 0 => Some((format!("ended after {partial} bytes of an event"), broken)),
            _ if !self.has_event && !has_explicit_end => {
                Some(("closed before its first event".to_owned(), broken))
            }
            // Joined to what the caller has, an end without an event proves nothing.
            _ if !self.has_event
                && (self.is_continuation || self.has_repeated)
                && !is_planted("empty_end_believed") =>
            {
                Some(("ended without an event that the caller doesn't have".to_owned(), None))
            }
            StreamKind::Resumable | StreamKind::Final => None,
        };
        if let Some((reason, broken)) = fault {
            return Err(StreamFault { reason, broken, is_no_answer: false });
        }
        self.close();
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.ready.push_back(rest);
        }
        Ok(())
    }

    /// Makes the complete events ready, up to the first one that isn't part of the stream.
    fn push_chunk(&mut self, chunk: Bytes) -> Result<(), StreamFault> {
        if self.kind == StreamKind::Opaque {
            self.has_event = true;
            self.opaque_bytes += chunk.len();
            if self.opaque_bytes > MAX_OPAQUE_BYTES {
                return Err(StreamFault::of_content("the body is too large"));
            }
            self.ready.push_back(chunk);
            return Ok(());
        }
        self.splitter.push(&chunk);
        let mut complete = Vec::new();
        self.new_events = 0;
        while let Some((id, event)) = self.splitter.next_event() {
            match self.accept(id, &event) {
                Ok(true) => complete.extend_from_slice(&event),
                Ok(false) => {}
                Err(_) if is_planted("false_bytes_pass") => complete.extend_from_slice(&event),
                Err(fault) => {
                    self.splitter.clear();
                    self.fault = Some(fault);
                    break;
                }
            }
        }
        let meter = self.source.as_ref().and_then(|(_, guard)| guard.meter());
        if let Some(meter) = meter.filter(|_| self.new_events > 0) {
            meter.record_events(self.new_events);
        }
        if !complete.is_empty() {
            self.ready.push_back(complete.into());
        }
        Ok(())
    }

    /// Whether an event is new to the caller; an error if it isn't part of the stream. Ids increase
    /// within a run, and either all events have one or only this upstream can deliver the rest.
    fn accept(&mut self, id: Option<u64>, event: &[u8]) -> Result<bool, StreamFault> {
        let fields = EventFields::read(event, &*self.dialect).map_err(StreamFault::of_content)?;
        self.new_events += u32::from(fields.has_data);
        match id {
            Some(id) if self.last_sent.is_some_and(|last| id <= last) => {
                return Err(StreamFault::of_content("an event's id doesn't increase"));
            }
            Some(id) => {
                self.last_sent = Some(id);
                if self.kind == StreamKind::Resumable && Some(id) <= self.last {
                    self.has_repeated = true;
                    return Ok(false);
                }
                self.last = Some(id);
            }
            None if !fields.has_data => return Ok(true),
            None if self.last.is_some() => {
                return Err(StreamFault::of_content("an event has no id"));
            }
            None => self.kind = StreamKind::Final,
        }
        self.has_event |= fields.has_data;
        Ok(true)
    }
}
