//! A caller's stream, which can outlive the engines that produce it.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use wheel_ingress::{AnswerBody, AnswerError};
use wheel_memory::ByteLease;
use wheel_seams::is_planted;

use crate::request_run::RequestRun;
use crate::{EventSplitter, RequestGuard};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Maximum size of a body that isn't made of events, in bytes; the same as of any other failure.
const MAX_OPAQUE_BYTES: usize = 4 << 20;

/// Forwards a stream in complete events. One that ends inside an event has broken off, however its
/// connection ends. When its engine fails, a resumable stream resumes at another engine after the
/// last forwarded event.
pub(crate) struct ResumedStream {
    run: RequestRun,
    body: Option<wheel_upstream::AnswerBody>,
    guard: Option<RequestGuard>,
    splitter: EventSplitter,
    /// Covers the bytes of the splitter.
    lease: ByteLease,
    ready: VecDeque<Bytes>,
    kind: StreamKind,
    /// Bytes that have been forwarded of a body that isn't made of events.
    opaque_bytes: usize,
    /// Whether the current upstream has sent a complete event.
    has_event: bool,
    /// The id of the last forwarded event.
    last: Option<u64>,
    /// Completes when the drain deadline has passed.
    drained: BoxFuture<'static, ()>,
}

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

impl ResumedStream {
    pub(crate) fn begin(
        run: RequestRun,
        body: wheel_upstream::AnswerBody,
        guard: RequestGuard,
        kind: StreamKind,
        last: Option<u64>,
    ) -> Self {
        let drain = run.drain();
        Self {
            drained: async move { drain.passed().await }.boxed(),
            run,
            lease: body.lease(),
            body: Some(body),
            guard: Some(guard),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            kind,
            opaque_bytes: 0,
            has_event: false,
            last,
        }
    }

    /// The body of the caller's answer.
    pub(crate) fn into_body(self) -> AnswerBody {
        let chunks = stream::unfold(self, |mut stream| async move {
            let chunk = stream.next().await;
            let chunk = chunk.filter(|chunk| chunk.is_ok() || !is_planted("part_looks_whole"))?;
            Some((chunk.map(Frame::data), stream))
        });
        StreamBody::new(chunks).boxed_unsync()
    }

    async fn next(&mut self) -> Option<Result<Bytes, AnswerError>> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                self.run.log.forwarded_event();
                return Some(Ok(event));
            }
            let Some(body) = &mut self.body else { return None };
            let chunk = tokio::select! {
                biased;
                chunk = body.next() => chunk,
                () = &mut self.drained => {
                    self.end("drain_ended");
                    let reason = "the instance ends".to_owned();
                    return Some(Err(AnswerError::BrokeOff { reason }));
                }
            };
            let fault = match chunk {
                Ok(Some(chunk)) => {
                    self.push_chunk(chunk).inspect_err(|fault| self.run.record_false_answer(fault))
                }
                Ok(None) => {
                    self.end_body().inspect_err(|_| self.run.record_broken("stream_ended_early"))
                }
                Err(failure) => {
                    if failure.is_closed_by_upstream() {
                        self.run.record_broken("stream_cut");
                    }
                    Err(failure.to_string())
                }
            };
            let Err(fault) = fault else { continue };
            self.run.log.step("stream_broke", &fault);
            if let Err(reason) = self.resume().await {
                self.end(reason);
                return Some(Err(AnswerError::BrokeOff { reason: fault }));
            }
        }
    }

    /// Ends the stream at the end of its upstream's body; an error if the body isn't complete.
    fn end_body(&mut self) -> Result<(), String> {
        let partial = self.splitter.partial_len();
        self.run.log.record_partial_event(partial);
        let has_explicit_end =
            self.body.as_ref().is_some_and(|body| body.framing().has_explicit_end());
        match self.kind {
            StreamKind::Opaque => {}
            _ if partial > 0 => return Err(format!("ended after {partial} bytes of an event")),
            _ if !self.has_event && !has_explicit_end => {
                return Err("closed before its first event".to_owned());
            }
            StreamKind::Resumable | StreamKind::Final => {}
        }
        self.end("stream_ended");
        if self.kind != StreamKind::Opaque {
            self.run.record_sound();
        }
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.ready.push_back(rest);
        }
        Ok(())
    }

    /// Makes the complete events ready; an error if an event is too large.
    fn push_chunk(&mut self, chunk: Bytes) -> Result<(), String> {
        if self.kind == StreamKind::Opaque {
            self.opaque_bytes += chunk.len();
            if self.opaque_bytes > MAX_OPAQUE_BYTES {
                return Err("the body is too large".to_owned());
            }
            self.ready.push_back(chunk);
            return Ok(());
        }
        self.splitter.push(&chunk);
        let mut complete = Vec::new();
        while let Some((id, event)) = self.splitter.next_event() {
            self.has_event = true;
            if self.kind == StreamKind::Resumable && id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            complete.extend_from_slice(&event);
        }
        if !complete.is_empty() {
            self.ready.push_back(complete.into());
        }
        if self.splitter.buffered_len() > MAX_EVENT_BYTES {
            return Err("an event is too large".to_owned());
        }
        let leased = self.lease.resize(self.splitter.buffered_len());
        leased.map_err(|refused| format!("no memory for an event: {refused}"))
    }

    /// Resumes at another engine; otherwise returns the reason for which the stream ends.
    async fn resume(&mut self) -> Result<(), &'static str> {
        self.body = None;
        self.guard = None;
        self.splitter.clear();
        // Always possible for less.
        let _ = self.lease.resize(0);
        self.has_event = false;
        if self.kind != StreamKind::Resumable {
            return Err("stream_broke");
        }
        let resumed = tokio::select! {
            biased;
            resumed = self.run.resume(self.last) => resumed.ok_or("stream_broke"),
            () = &mut self.drained => Err("drain_ended"),
        };
        let (answer, guard) = resumed?;
        self.lease = answer.body.lease();
        self.body = Some(answer.body);
        self.guard = Some(guard);
        Ok(())
    }

    fn end(&mut self, reason: &'static str) {
        self.body = None;
        self.guard = None;
        self.run.log.set_reason(reason);
    }
}
