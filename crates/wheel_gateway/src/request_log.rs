//! Log line and metrics of a request.

use std::sync::Arc;

use http::StatusCode;
use metrics::{counter, histogram};
use spdlog::info;
use tokio::time::Instant;
use wheel_route::RouteSpec;
use wheel_types::RequestId;
use wheel_upstream::{AnswerFraming, ArrivalClock};

use crate::request_identity::RequestIdentity;
use crate::{GenerationRequest, IngressRequest};

/// The phase that a request is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestPhase {
    /// Its body is being read.
    Reading,
    /// It waits for its team's allowance.
    Charging,
    /// An upstream is being chosen, or the request waits until its model is loaded.
    Searching,
    /// It is being sent or was sent to an upstream; no answer's head has arrived yet.
    Sent,
    /// The upstream's answer is being received.
    Answering,
}

impl RequestPhase {
    fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading",
            Self::Charging => "charging",
            Self::Searching => "searching",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// Collects the log line of a request, which is written on drop, however the request ends.
pub(crate) struct RequestLog {
    id: RequestId,
    route: Arc<RouteSpec>,
    /// The name of the caller's team.
    team: Arc<str>,
    rank: u8,
    service: Arc<str>,
    /// The requested model, with its adapter.
    model: String,
    /// Ids of the prompt's parts but the last, which belongs to the request alone.
    parts: String,
    arrival: Instant,
    version: u64,
    view_age_ms: u128,
    engine: Arc<str>,
    sends: u32,
    phase: RequestPhase,
    /// When the request was sent to the last upstream.
    sent_at: Option<Instant>,
    /// When bytes of that upstream's answer arrived, once its head has.
    arrivals: Option<ArrivalClock>,
    /// Whether the caller has been given the head of a stream.
    is_head_forwarded: bool,
    /// How the last upstream marks the end of its answer.
    framing: Option<AnswerFraming>,
    /// Time from the arrival to the head of the last upstream's answer.
    head_ms: Option<u128>,
    events: u64,
    /// Bytes after the last complete event when the upstream's body ended.
    partial_bytes: usize,
    status: Option<StatusCode>,
    first_ms: Option<u128>,
    reason: &'static str,
    is_written: bool,
}

impl RequestLog {
    pub(crate) fn begin(
        request: &IngressRequest,
        identity: &RequestIdentity,
        route: Arc<RouteSpec>,
        arrival: Instant,
        version: u64,
        view_age_ms: u128,
    ) -> Self {
        let model = match &request.generation {
            Some(GenerationRequest { model, adapter: Some(adapter), .. }) => {
                format!("{model}/{adapter}")
            }
            Some(GenerationRequest { model, .. }) => model.to_string(),
            None => "-".to_owned(),
        };
        Self {
            id: request.id.clone(),
            service: "-".into(),
            model,
            parts: shared_parts(request),
            route,
            team: identity.team.as_ref().map_or("-".into(), |team| Arc::clone(&team.name)),
            rank: identity.rank,
            arrival,
            version,
            view_age_ms,
            engine: "-".into(),
            sends: 0,
            phase: RequestPhase::Reading,
            sent_at: None,
            arrivals: None,
            is_head_forwarded: false,
            framing: None,
            head_ms: None,
            events: 0,
            partial_bytes: 0,
            status: None,
            first_ms: None,
            reason: "caller_left",
            is_written: false,
        }
    }

    /// When the request arrived.
    pub(crate) fn arrival(&self) -> Instant {
        self.arrival
    }

    /// Sets the service that the request is for.
    pub(crate) fn set_service(&mut self, service: &Arc<str>) {
        self.service = Arc::clone(service);
    }

    /// Records that the request is sent to an upstream.
    pub(crate) fn sent(&mut self, engine: &Arc<str>) {
        self.engine = Arc::clone(engine);
        self.sends += 1;
        self.phase = RequestPhase::Sent;
        self.sent_at = Some(Instant::now());
        self.arrivals = None;
        self.head_ms = None;
    }

    /// Records that the request enters a phase.
    pub(crate) fn enter(&mut self, phase: RequestPhase) {
        self.phase = phase;
    }

    /// Records that the head of the upstream's answer has arrived, and how its end is marked.
    pub(crate) fn head_arrived(&mut self, framing: AnswerFraming, arrivals: &ArrivalClock) {
        self.framing = Some(framing);
        self.head_ms = Some(self.arrival.elapsed().as_millis());
        self.arrivals = Some(arrivals.clone());
        counter!("wheel_upstream_answers_total", "framing" => framing.as_str()).increment(1);
    }

    /// Records how many bytes followed the last complete event when the upstream's body ended.
    pub(crate) fn record_partial_event(&mut self, partial_bytes: usize) {
        self.partial_bytes = partial_bytes;
    }

    /// Records the status that the caller receives, and the reason.
    pub(crate) fn answered(&mut self, status: StatusCode, reason: &'static str) {
        self.status = Some(status);
        self.reason = reason;
    }

    /// Records that the caller is given the head of a stream.
    pub(crate) fn forwarded_head(&mut self) {
        self.is_head_forwarded = true;
    }

    /// Records an event that is forwarded.
    pub(crate) fn forwarded_event(&mut self) {
        self.events += 1;
        if self.first_ms.is_none() {
            self.first_ms = Some(self.arrival.elapsed().as_millis());
            let (rank, service) = (self.rank.to_string(), self.service.to_string());
            histogram!("wheel_first_event_seconds", "rank" => rank, "service" => service)
                .record(self.arrival.elapsed().as_secs_f64());
        }
    }

    /// Sets the reason for the end of the answer.
    pub(crate) fn set_reason(&mut self, reason: &'static str) {
        self.reason = reason;
    }

    /// Logs what a request that is open at the drain deadline was waiting for.
    pub(crate) fn open_at_drain_deadline(&self) {
        let silent_since = self.arrivals.as_ref().map(ArrivalClock::last).or(self.sent_at);
        let silent_ms = silent_since.map(|since| since.elapsed().as_millis().to_string());
        info!("request_drained", kv: {
            id = self.id.as_str(), route = self.route.name.to_string(),
            upstream = self.engine.to_string(), phase = self.phase.as_str(),
            waits_for = self.awaited(), head_forwarded = self.is_head_forwarded,
            events = self.events, sends = self.sends,
            silent_ms = silent_ms.as_deref().unwrap_or("-"),
            ms = self.arrival.elapsed().as_millis()
        });
    }

    /// What the request waits for.
    fn awaited(&self) -> &'static str {
        match self.phase {
            RequestPhase::Reading => "request_body",
            RequestPhase::Charging => "allowance",
            RequestPhase::Searching => "upstream",
            RequestPhase::Sent => "answer_head",
            RequestPhase::Answering if !self.route.kind.is_stream() => "answer_body",
            RequestPhase::Answering if self.events == 0 => "first_event",
            RequestPhase::Answering => "next_event",
        }
    }

    /// Logs that the connection to an upstream ended under the request, with the prompt's shared
    /// parts: requests under which several upstreams ended may have one in common.
    pub(crate) fn broke(&self, reason: &str) {
        info!("upstream_broke", kv: {
            id = self.id.as_str(), upstream = self.engine.to_string(), reason:? = reason,
            parts = self.parts.as_str(), sends = self.sends, events = self.events
        });
    }

    /// Logs an intermediate step that decides how the request continues.
    pub(crate) fn step(&self, event: &str, reason: &str) {
        info!("request_step", kv: {
            id = self.id.as_str(), step = event, upstream = self.engine.to_string(),
            reason:? = reason, sends = self.sends,
            ms = self.arrival.elapsed().as_millis()
        });
    }
}

/// The ids of the parts that other requests may share, for the log.
fn shared_parts(request: &IngressRequest) -> String {
    let parts = request.generation.iter().flat_map(GenerationRequest::shared_parts);
    let parts: Vec<String> = parts.map(|part| format!("{:x}", part.id)).collect();
    if parts.is_empty() { "-".to_owned() } else { parts.join(",") }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if std::mem::replace(&mut self.is_written, true) {
            return;
        }
        let status = self.status.map_or(0, |status| status.as_u16());
        let took = self.arrival.elapsed();
        let (rank, service) = (self.rank.to_string(), self.service.to_string());
        counter!("wheel_requests_total", "status" => status.to_string(), "reason" => self.reason)
            .increment(1);
        histogram!("wheel_request_seconds", "rank" => rank, "service" => service)
            .record(took.as_secs_f64());
        info!("request_ended", kv: {
            id = self.id.as_str(), route = self.route.name.to_string(),
            team = self.team.to_string(), rank = self.rank,
            service = self.service.to_string(),
            model = self.model.as_str(), upstream = self.engine.to_string(), sends = self.sends,
            status = status, reason = self.reason, phase = self.phase.as_str(),
            framing = self.framing.map_or("-", AnswerFraming::as_str),
            head_ms = self.head_ms.unwrap_or_default(),
            events = self.events, partial_bytes = self.partial_bytes,
            first_ms = self.first_ms.unwrap_or_default(),
            ms = took.as_millis(), version = self.version, view_age_ms = self.view_age_ms
        });
    }
}
