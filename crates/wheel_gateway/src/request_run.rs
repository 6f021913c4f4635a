//! Processing of one request from its arrival to its answer, over all its sends.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, header};
use wheel_ingress::{AnswerBody, full_body};
use wheel_route::EngineInfo;
use wheel_upstream::ServiceAnswer;

use crate::RequestGuard;
use crate::allowance_gate::AllowanceRefusal;
use crate::arrived_request::ArrivedRequest;
use crate::media_type::MediaType;
use crate::no_upstream::NoUpstream;
use crate::proxy_context::ProxyContext;
use crate::request_log::{RequestLog, RequestPhase};
use crate::send_ledger::SendLedger;
use crate::stall_watch::StallWatch;
use crate::stream_reader::{StreamKind, StreamReader};
use crate::upstream_send::{SendOutcome, UpstreamSend};

/// Time from a request for a model that isn't loaded until it has been loaded from a disk and is
/// known here.
const LOAD_TIME: Duration = Duration::from_millis(1_000);
/// Demand weight of a request whose objective leaves time for a load: the load still costs an
/// order, and waits may add up.
const REDUCED_WEIGHT: f64 = 0.25;
/// Maximum size of an answer that is buffered until it is complete, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// A request in progress.
pub(crate) struct RequestRun {
    pub(crate) ledger: SendLedger,
    /// An upstream's answer with a server error, used if no other answer is received.
    pub(crate) failure: Option<Response<Bytes>>,
}

/// The outcome of serving a request.
pub(crate) enum ServeOutcome {
    /// The upstream's complete answer.
    Complete(Response<AnswerBody>),
    /// The head of a stream, whose first events have arrived or whose body has ended.
    Stream(Box<HeldStream>),
    /// There is no upstream to send to.
    NoUpstream(NoUpstream),
    /// The team's allowance doesn't permit the request in time.
    OverAllowance(AllowanceRefusal),
    /// No send was answered, and no further send is allowed.
    NoAnswer,
    /// The drain deadline has passed.
    Drained,
}

/// An upstream's stream whose head the caller hasn't been given.
pub(crate) struct HeldStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) reader: StreamReader,
}

impl RequestRun {
    /// Begins without a send.
    pub(crate) fn begin(
        context: Arc<ProxyContext>,
        arrived: ArrivedRequest,
        log: RequestLog,
    ) -> Self {
        Self { ledger: SendLedger::begin(context, arrived, log), failure: None }
    }

    /// Serves the request, at the latest until the drain deadline.
    pub(crate) async fn serve(&mut self) -> ServeOutcome {
        if let Some(key) = self.ledger.search().demand_key() {
            let weight =
                if self.ledger.arrived.route.objective < LOAD_TIME { 1.0 } else { REDUCED_WEIGHT };
            self.ledger.context.state.record_demand(&key, weight);
        }
        let drain = self.ledger.context.drain.clone();
        tokio::select! {
            biased;
            outcome = self.find_answer() => outcome,
            () = drain.passed() => ServeOutcome::Drained,
        }
    }

    /// Sends the request until it has an answer or may not be sent again.
    async fn find_answer(&mut self) -> ServeOutcome {
        loop {
            if let Err(refusal) = self.ledger.acquire_allowance().await {
                return ServeOutcome::OverAllowance(refusal);
            }
            let info = match self.ledger.next_upstream(false).await {
                Ok(info) => info,
                Err(_) if self.failure.is_some() => break,
                Err(none) => return ServeOutcome::NoUpstream(none),
            };
            if !self.ledger.renew_allowance() {
                continue;
            }
            match self.send(&info, self.ledger.arrived.request.resume_after).await {
                SendOutcome::Answer(answer, guard)
                    if self.ledger.arrived.route.kind.is_stream() =>
                {
                    // With its head forwarded, a request can't be refused or given up any more.
                    if let Some(held) = self.hold_stream(*answer, guard).await {
                        return ServeOutcome::Stream(Box::new(held));
                    }
                }
                SendOutcome::Answer(answer, guard) => match self.complete(*answer, guard).await {
                    Some(response) if !response.status().is_server_error() => {
                        return ServeOutcome::Complete(response.map(full_body));
                    }
                    Some(response) => self.failure = Some(response),
                    None => {}
                },
                SendOutcome::Rejected | SendOutcome::Broken => {}
            }
            if self.ledger.replacement.is_none() && !self.ledger.may_send_again() {
                break;
            }
            self.ledger.log.step("send_again", "last_send_failed");
        }
        let failure = self.failure.take().map(|failure| failure.map(full_body));
        failure.map_or(ServeOutcome::NoAnswer, ServeOutcome::Complete)
    }

    /// Reads a stream up to its first events; `None` if it broke off before them.
    async fn hold_stream(
        &mut self,
        answer: ServiceAnswer,
        guard: RequestGuard,
    ) -> Option<HeldStream> {
        self.ledger.log.enter(RequestPhase::Answering);
        let ServiceAnswer { status, mut headers, body, .. } = answer;
        let kind = match self.ledger.arrived.route.kind {
            _ if !status.is_success() || self.ledger.arrived.head.method == Method::HEAD => {
                StreamKind::Opaque
            }
            kind if kind.is_repeatable() => StreamKind::Resumable,
            _ => StreamKind::Final,
        };
        if kind == StreamKind::Resumable {
            headers.remove(header::CONTENT_LENGTH);
        }
        let last = self.ledger.arrived.request.resume_after;
        let dialect = Arc::clone(&self.ledger.context.dialect);
        let mut reader = StreamReader::begin(body, guard, dialect, kind, last);
        let watch = StallWatch::begin(&self.ledger, reader.arrivals(), false);
        let filled = match kind {
            // Only its own upstream has the rest of a body that isn't made of events.
            StreamKind::Opaque => Ok(reader.fill().await),
            _ => watch.wait(reader.fill()).await,
        };
        match filled {
            Ok(Ok(())) => Some(HeldStream { status, headers, reader }),
            Err(replacement) => {
                self.ledger.leave_for(replacement);
                None
            }
            Ok(Err(fault)) => {
                self.ledger.record_fault("stream_broke", &fault, reader.partial_len());
                None
            }
        }
    }

    /// Finds an upstream that goes on with a stream of the type `media_type` after the event `last`.
    pub(crate) async fn resume(
        &mut self,
        last: Option<u64>,
        media_type: &MediaType,
    ) -> Option<StreamReader> {
        while self.ledger.replacement.is_some() || self.ledger.may_send_again() {
            let info = match self.ledger.next_upstream(true).await {
                Ok(info) => info,
                Err(none) => {
                    self.ledger.log.step("not_resumed", none.reason);
                    return None;
                }
            };
            match self.send(&info, last.or(self.ledger.arrived.request.resume_after)).await {
                SendOutcome::Answer(answer, _) if !answer.status.is_success() => {
                    self.ledger.log.step("continuation_refused", answer.status.as_str());
                }
                SendOutcome::Answer(answer, _)
                    if !media_type.allows(&MediaType::of(&answer.headers)) =>
                {
                    self.ledger.log.step("continuation_refused", "another media type");
                }
                SendOutcome::Answer(answer, guard) => {
                    self.ledger.log.enter(RequestPhase::Answering);
                    let dialect = Arc::clone(&self.ledger.context.dialect);
                    return Some(StreamReader::resume(answer.body, guard, dialect, last));
                }
                SendOutcome::Rejected | SendOutcome::Broken => {}
            }
        }
        None
    }

    /// The upstream's answer once it is complete; `None` if it was cut short.
    async fn complete(
        &mut self,
        mut answer: ServiceAnswer,
        _guard: RequestGuard,
    ) -> Option<Response<Bytes>> {
        self.ledger.log.enter(RequestPhase::Answering);
        let watch = StallWatch::begin(&self.ledger, Some(answer.body.arrivals().clone()), true);
        let collected = match watch.wait(answer.body.collect(MAX_BUFFERED_BYTES)).await {
            Ok(collected) => collected,
            Err(replacement) => {
                self.ledger.leave_for(replacement);
                return None;
            }
        };
        match collected {
            Ok(body) => {
                self.ledger.log.answered(answer.status, "answered");
                if answer.status.is_success() {
                    self.ledger.record_sound();
                }
                let mut response = Response::new(body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                Some(response)
            }
            Err(failure) => {
                self.ledger.log.step("answer_broke", &failure.to_string());
                if failure.is_closed_by_upstream() {
                    self.ledger.record_broken("answer_cut");
                }
                if failure.is_no_answer() {
                    self.ledger.record_false_answer(&failure.to_string());
                }
                None
            }
        }
    }

    /// Sends once and reads the head of the answer.
    async fn send(&mut self, info: &EngineInfo, resume_after: Option<u64>) -> SendOutcome {
        UpstreamSend { ledger: &mut self.ledger, info, resume_after }.run().await
    }
}
