//! A caller's stream, which can outlive the engines that produce it.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use wheel_ingress::{AnswerBody, AnswerError};
use wheel_seams::is_planted;

use crate::media_type::MediaType;
use crate::request_run::RequestRun;
use crate::stall_watch::StallWatch;
use crate::stream_reader::{StreamKind, StreamReader};

/// Forwards a stream whose head the caller has been given. When its engine fails, a resumable
/// stream resumes at another engine after the last forwarded event.
pub(crate) struct ResumedStream {
    run: RequestRun,
    reader: StreamReader,
    /// That of the first upstream's answer, whose head the caller has.
    media_type: MediaType,
    /// Whether the end of the body has been recorded.
    is_noted: bool,
    /// Completes when the drain deadline has passed.
    drained: BoxFuture<'static, ()>,
}

impl ResumedStream {
    pub(crate) fn begin(run: RequestRun, reader: StreamReader, media_type: MediaType) -> Self {
        let drain = run.ledger.drain();
        let drained = async move { drain.passed().await }.boxed();
        Self { run, reader, media_type, is_noted: false, drained }
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
            if let Some(event) = self.reader.take_ready() {
                self.run.ledger.log.forwarded_event();
                // The server asks for nothing beyond a stated length.
                self.note_end();
                return Some(Ok(event));
            }
            if self.reader.is_ended() {
                self.note_end();
                return None;
            }
            if self.reader.kind() == StreamKind::Final {
                self.run.ledger.stay();
            }
            let watch = StallWatch::begin(&self.run.ledger, self.reader.arrivals(), true);
            let filling = async {
                match self.reader.kind() {
                    StreamKind::Opaque => Ok(self.reader.fill().await),
                    _ => watch.wait(self.reader.fill()).await,
                }
            };
            let filled = tokio::select! {
                biased;
                filled = filling => filled,
                () = &mut self.drained => {
                    self.run.ledger.log.open_at_drain_deadline();
                    let message = "the instance ends".to_owned();
                    return Some(Err(self.break_off("drain_ended", message).await));
                }
            };
            let fault = match filled {
                Ok(Ok(())) => continue,
                Ok(Err(fault)) => {
                    let is_refused = !self.reader.has_event();
                    let step = if is_refused { "continuation_refused" } else { "stream_broke" };
                    self.run.ledger.record_fault(step, &fault, self.reader.partial_len());
                    fault.reason
                }
                Err(replacement) => {
                    self.run.ledger.leave_for(replacement);
                    "the upstream is silent".to_owned()
                }
            };
            if let Err(reason) = self.resume().await {
                return Some(Err(self.break_off(reason, fault).await));
            }
        }
    }

    /// Records the end of the upstream's complete body, once all of it is forwarded.
    fn note_end(&mut self) {
        if !self.reader.is_ended() || self.reader.has_ready() || self.is_noted {
            return;
        }
        self.is_noted = true;
        self.run.ledger.log.set_reason("stream_ended");
        if self.reader.kind() != StreamKind::Opaque {
            self.run.ledger.record_sound();
        }
    }

    /// Resumes at another engine; otherwise returns the reason for which the stream ends.
    async fn resume(&mut self) -> Result<(), &'static str> {
        self.reader.close();
        if self.reader.kind() != StreamKind::Resumable {
            return Err("stream_broke");
        }
        let last = self.reader.last();
        let resumed = tokio::select! {
            biased;
            resumed = self.run.resume(last, &self.media_type) => resumed.ok_or("stream_broke"),
            () = &mut self.drained => {
                self.run.ledger.log.open_at_drain_deadline();
                Err("drain_ended")
            }
        };
        self.reader = resumed?;
        Ok(())
    }

    /// Ends the caller's body as broken off.
    async fn break_off(&mut self, reason: &'static str, message: String) -> AnswerError {
        self.reader.close();
        self.run.ledger.log.set_reason(reason);
        // The server writes what was forwarded only when the body is pending; after an error it
        // discards it, with the head.
        tokio::task::yield_now().await;
        AnswerError::BrokeOff { reason: message }
    }
}
