//! Reads a stream from one upstream.

use std::collections::VecDeque;

use bytes::Bytes;
use wheel_memory::{BudgetScope, ByteLease};
use wheel_upstream::{AnswerBody, ArrivalClock};

use crate::{EventSplitter, RequestGuard};

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
    /// Bytes that were read of a body that isn't made of events.
    opaque_bytes: usize,
    /// Whether the upstream has sent a complete event.
    has_event: bool,
    /// The id of the last event that was made ready, by this upstream or one before.
    last: Option<u64>,
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
        kind: StreamKind,
        last: Option<u64>,
    ) -> Self {
        Self {
            lease: body.lease(),
            source: Some((body, guard)),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            kind,
            opaque_bytes: 0,
            has_event: false,
            last,
        }
    }

    /// Reads until complete events are ready or the stream has ended. Cancel-safe.
    ///
    /// # Errors
    /// [`StreamFault`] if the stream breaks off or its content is malformed.
    pub(crate) async fn fill(&mut self) -> Result<(), StreamFault> {
        while self.ready.is_empty() && !self.is_ended() {
            self.read().await?;
        }
        Ok(())
    }

    /// Reads until the first event is ready or the stream has ended; comments are none. Cancel-safe.
    ///
    /// # Errors
    /// [`StreamFault`] as for [`Self::fill`].
    pub(crate) async fn fill_first(&mut self) -> Result<(), StreamFault> {
        while !self.has_event && !self.is_ended() {
            self.read().await?;
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), StreamFault> {
        self.lease_kept_bytes()?;
        let Some((body, _)) = &mut self.source else { return Ok(()) };
        match body.next().await {
            Ok(Some(chunk)) => self.push_chunk(chunk),
            Ok(None) => self.end_body(),
            Err(failure) => {
                let broken = failure.is_closed_by_upstream().then_some("stream_cut");
                let is_no_answer = failure.is_no_answer();
                Err(StreamFault { reason: failure.to_string(), broken, is_no_answer })
            }
        }
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

    pub(crate) fn kind(&self) -> StreamKind {
        self.kind
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
        let reason = match self.kind {
            StreamKind::Opaque => None,
            _ if partial > 0 => Some(format!("ended after {partial} bytes of an event")),
            _ if !self.has_event && !has_explicit_end => {
                Some("closed before its first event".to_owned())
            }
            StreamKind::Resumable | StreamKind::Final => None,
        };
        if let Some(reason) = reason {
            let broken = Some("stream_ended_early");
            return Err(StreamFault { reason, broken, is_no_answer: false });
        }
        self.close();
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.ready.push_back(rest);
        }
        Ok(())
    }

    /// Makes the complete events ready.
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
        while let Some((id, event)) = self.splitter.next_event() {
            self.has_event |= has_data(&event);
            if self.kind == StreamKind::Resumable && id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            complete.extend_from_slice(&event);
        }
        if !complete.is_empty() {
            self.ready.push_back(complete.into());
        }
        Ok(())
    }
}

/// Whether an event is more than a comment or a setting of the stream.
fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}
