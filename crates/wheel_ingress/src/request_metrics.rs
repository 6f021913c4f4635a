//! Request metrics by rank and by caller.

use std::collections::HashSet;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use metrics::{Histogram, counter, gauge, histogram};
use parking_lot::Mutex;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use wheel_manifest::ActiveManifest;
use wheel_types::CallerName;

use crate::{AnswerBody, AnswerError, CallerAnswer, CallerRequest, RefusalCode};

/// Largest number of callers with histograms of their own; the rest share the label `other`.
const MAX_CALLER_LABELS: usize = 64;

/// The label of callers beyond [`MAX_CALLER_LABELS`].
const OTHER_CALLERS: &str = "other";

/// Counts and times requests, with a bounded number of labels.
#[derive(Debug, Default)]
pub struct RequestMetrics {
    labelled_callers: Mutex<HashSet<CallerName>>,
}

impl RequestMetrics {
    /// Counts a request that was refused before it had a rank.
    pub fn count_refusal(&self, code: RefusalCode) {
        counter!("wheel_requests_refused_total", "code" => code.as_str()).increment(1);
    }

    /// Starts measuring a request.
    pub(crate) fn begin(&self, request: &CallerRequest, manifest: &ActiveManifest) -> RequestTimer {
        let rank = manifest.manifest.ranks.get(request.rank.index());
        gauge!("wheel_requests_open").increment(1.0);
        RequestTimer {
            rank: rank.map_or_else(|| request.rank.to_string(), |rank| rank.name.clone()),
            caller: self.caller_label(&request.caller),
            arrival: request.arrival,
            last_chunk: None,
            between_tokens: None,
        }
    }

    fn caller_label(&self, caller: &CallerName) -> String {
        let mut labelled_callers = self.labelled_callers.lock();
        match labelled_callers.contains(caller) {
            true => caller.to_string(),
            false if labelled_callers.len() < MAX_CALLER_LABELS => {
                labelled_callers.insert(caller.clone());
                caller.to_string()
            }
            false => OTHER_CALLERS.to_owned(),
        }
    }
}

/// Measures one request.
#[derive(Debug)]
pub(crate) struct RequestTimer {
    rank: String,
    caller: String,
    arrival: Instant,
    last_chunk: Option<Instant>,
    /// Cached, because a stream records into it with every token.
    between_tokens: Option<HistogramPair>,
}

/// The histograms of one duration by rank and by caller.
#[derive(Debug)]
struct HistogramPair {
    by_rank: Histogram,
    by_caller: Histogram,
}

impl HistogramPair {
    fn record(&self, span: Duration) {
        self.by_rank.record(span.as_secs_f64());
        self.by_caller.record(span.as_secs_f64());
    }
}

impl RequestTimer {
    /// Measures the answer until its body is sent or dropped, and holds the permit until then.
    pub(crate) fn watch(self, answer: CallerAnswer, permit: OwnedSemaphorePermit) -> CallerAnswer {
        let outcome = answer.outcome.as_str();
        let status = answer.status.as_u16().to_string();
        counter!("wheel_requests_total", "rank" => self.rank.clone(),
            "caller" => self.caller.clone(), "outcome" => outcome, "status" => status)
        .increment(1);
        let body = TrackedBody { body: answer.body, timer: self, _permit: permit };
        CallerAnswer { body: body.boxed_unsync(), ..answer }
    }

    fn record_chunk(&mut self) {
        let now = Instant::now();
        match self.last_chunk.replace(now) {
            None => self.histograms("wheel_first_token_seconds").record(now - self.arrival),
            Some(last) => {
                let histograms = match self.between_tokens.take() {
                    Some(histograms) => histograms,
                    None => self.histograms("wheel_between_tokens_seconds"),
                };
                histograms.record(now - last);
                self.between_tokens = Some(histograms);
            }
        }
    }

    fn histograms(&self, name: &'static str) -> HistogramPair {
        HistogramPair {
            by_rank: histogram!(name, "rank" => self.rank.clone()),
            by_caller: histogram!(format!("{name}_by_caller"), "caller" => self.caller.clone()),
        }
    }
}

impl Drop for RequestTimer {
    fn drop(&mut self) {
        gauge!("wheel_requests_open").decrement(1.0);
        self.histograms("wheel_request_seconds").record(self.arrival.elapsed());
    }
}

struct TrackedBody {
    body: AnswerBody,
    timer: RequestTimer,
    _permit: OwnedSemaphorePermit,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            self.timer.record_chunk();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
