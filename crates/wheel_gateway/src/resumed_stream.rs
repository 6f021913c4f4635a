//! A caller's stream, which can outlive the engines that produce it.

use std::collections::VecDeque;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use wheel_ingress::{AnswerBody, AnswerError};
use wheel_seams::is_planted;

use crate::request_run::RequestRun;
use crate::{EventSplitter, RequestGuard};

/// Forwards a stream. A resumable stream is forwarded in complete events; when its engine fails, it
/// resumes at another engine after the last forwarded event.
pub(crate) struct ResumedStream {
    run: RequestRun,
    body: Option<wheel_upstream::AnswerBody>,
    guard: Option<RequestGuard>,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    is_resumable: bool,
    /// The id of the last forwarded event.
    last: Option<u64>,
    /// Completes when the drain deadline has passed.
    drained: BoxFuture<'static, ()>,
}

impl ResumedStream {
    pub(crate) fn begin(
        run: RequestRun,
        body: wheel_upstream::AnswerBody,
        guard: RequestGuard,
        is_resumable: bool,
        last: Option<u64>,
    ) -> Self {
        let drain = run.drain();
        Self {
            drained: async move { drain.passed().await }.boxed(),
            run,
            body: Some(body),
            guard: Some(guard),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            is_resumable,
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
            match chunk {
                Ok(Some(chunk)) => self.push_chunk(chunk),
                Ok(None) => {
                    self.end("stream_ended");
                    let rest = self.splitter.take_rest();
                    self.run.log.ended_inside_event(rest.len());
                    if !rest.is_empty() {
                        self.ready.push_back(rest);
                    }
                }
                Err(failure) => {
                    self.run.log.step("stream_broke", &failure.to_string());
                    if let Err(reason) = self.resume().await {
                        self.end(reason);
                        return Some(Err(AnswerError::BrokeOff { reason: failure.to_string() }));
                    }
                }
            }
        }
    }

    fn push_chunk(&mut self, chunk: Bytes) {
        if !self.is_resumable {
            self.ready.push_back(chunk);
            return;
        }
        self.splitter.push(&chunk);
        let mut complete = Vec::new();
        while let Some((id, event)) = self.splitter.next_event() {
            if id.is_some() && id <= self.last {
                continue;
            }
            self.last = id.or(self.last);
            complete.extend_from_slice(&event);
        }
        if !complete.is_empty() {
            self.ready.push_back(complete.into());
        }
    }

    /// Resumes at another engine; otherwise returns the reason for which the stream ends.
    async fn resume(&mut self) -> Result<(), &'static str> {
        self.body = None;
        self.guard = None;
        self.splitter.clear();
        if !self.is_resumable {
            return Err("stream_broke");
        }
        let resumed = tokio::select! {
            biased;
            resumed = self.run.resume(self.last) => resumed.ok_or("stream_broke"),
            () = &mut self.drained => Err("drain_ended"),
        };
        let (answer, guard) = resumed?;
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
