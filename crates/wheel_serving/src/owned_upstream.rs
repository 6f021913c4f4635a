//! An upstream that this instance owns.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wheel_manifest::{ActiveManifest, RankSpec, UpstreamKind, UpstreamSpec};
use wheel_policy::{QueueSettings, QueuedRequest};
use wheel_types::{EngineCall, ModelName, RequestOutcome};
use wheel_upstream::{
    CallFailure, CallTimeouts, EngineClient, EngineSettings, GenerateCall, GeneratePath,
    ServiceCall, ServiceClient, ServiceSettings, asked_rest,
};

use crate::owned_answer::{OwnedAnswer, OwnedPlain, OwnedStream, OwnedWhole};
use crate::relay_headers::without_system_headers;
use crate::relay_refusal::RelayRefusal;
use crate::upstream_rest::UpstreamRest;
use crate::{
    DrainNotice, DrainingReplicas, ProcessClock, RelayCall, SlotGuard, SlotQueue, UsageTable,
};

/// Divisor of an engine's slots that gives the slots reserved for the most urgent rank.
const URGENT_DIVISOR: u32 = 8;

/// The client that calls an upstream.
pub(crate) enum UpstreamClient {
    Engine(EngineClient),
    Service(ServiceClient),
}

/// Queues requests for one upstream and calls it.
pub struct OwnedUpstream {
    spec: UpstreamSpec,
    ranks: Vec<RankSpec>,
    clock: ProcessClock,
    queue: Arc<SlotQueue>,
    usage: Arc<UsageTable>,
    draining: DrainingReplicas,
    /// Requests a report at once.
    pub(crate) report_due: Arc<Notify>,
    client: UpstreamClient,
    pub(crate) rest: UpstreamRest,
    /// Ends the tasks that watch the upstream once it is owned elsewhere.
    pub(crate) disowned: CancellationToken,
}

impl OwnedUpstream {
    /// Starts to own an upstream.
    pub(crate) fn spawn(
        spec: UpstreamSpec,
        clock: ProcessClock,
        manifest: &ActiveManifest,
        settings: EngineSettings,
        seed: u64,
    ) -> Arc<Self> {
        let urgent_slots = match spec.kind {
            UpstreamKind::Engine => spec.slots / URGENT_DIVISOR,
            UpstreamKind::Service => 0,
        };
        let queue_settings = QueueSettings { urgent_slots, ..QueueSettings::default() }
            .with_slots(spec.slots)
            .with_ranks(manifest.manifest.ranks.clone())
            .with_seed(seed);
        let client = match spec.kind {
            UpstreamKind::Engine => UpstreamClient::Engine(EngineClient::open(settings)),
            UpstreamKind::Service => {
                let settings =
                    ServiceSettings::new(spec.name.clone(), spec.address).limits(settings.limits);
                UpstreamClient::Service(ServiceClient::open(settings))
            }
        };
        Arc::new(Self {
            queue: SlotQueue::spawn(clock, queue_settings),
            usage: Arc::default(),
            draining: DrainingReplicas::default(),
            report_due: Arc::default(),
            rest: UpstreamRest::default(),
            disowned: CancellationToken::new(),
            ranks: manifest.manifest.ranks.clone(),
            spec,
            clock,
            client,
        })
    }

    /// Whether a manifest specifies exactly this upstream and these ranks.
    pub(crate) fn matches_manifest(&self, manifest: &ActiveManifest) -> bool {
        manifest.index.upstream(self.spec.name.as_str()) == Some(&self.spec)
            && manifest.manifest.ranks == self.ranks
    }

    /// Its specification.
    pub fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// The queue of its slots.
    pub fn queue(&self) -> &Arc<SlotQueue> {
        &self.queue
    }

    /// The usage of its models.
    pub fn usage(&self) -> &Arc<UsageTable> {
        &self.usage
    }

    /// Its draining replicas.
    pub fn draining(&self) -> &DrainingReplicas {
        &self.draining
    }

    /// Requests a report of its state at once.
    pub(crate) fn report_soon(&self) {
        self.report_due.notify_one();
    }

    /// Stops or resumes accepting requests for a replica and reports it at once.
    pub fn apply_drain(&self, notice: &DrainNotice) {
        self.draining.apply(notice);
        self.report_due.notify_one();
    }

    /// Its client, if it is an engine.
    pub fn engine(&self) -> Option<&EngineClient> {
        match &self.client {
            UpstreamClient::Engine(client) => Some(client),
            UpstreamClient::Service(_) => None,
        }
    }

    /// Runs a generation to its first event or its whole answer, after a wait in the queue.
    pub(crate) async fn generate(
        &self,
        call: &RelayCall,
        path: GeneratePath,
        stream: bool,
        body: Bytes,
    ) -> Result<OwnedAnswer, RelayRefusal> {
        let UpstreamClient::Engine(client) = &self.client else {
            return Err(RelayRefusal::elsewhere("the upstream isn't an engine"));
        };
        let model = call.model.clone().unwrap_or_else(|| ModelName::new(""));
        // Counted before the check, so that a report with the drain but without usage is reliable.
        let usage = self.usage.begin(model.clone(), call.adapter.clone());
        if self.draining.contains(&self.spec.name, &model) {
            return Err(RelayRefusal::elsewhere("the replica drains"));
        }
        let mut slot = self.acquire_slot(call).await?;
        let engine_call = GenerateCall {
            call: EngineCall {
                request_id: call.request_id.clone(),
                rank: call.rank,
                resume_from: call.resume_from,
            },
            path,
            headers: HeaderMap::new(),
            body,
            timeouts: CallTimeouts::default(),
        };
        if stream {
            let begun = async {
                let mut stream = client.generate(engine_call).await?;
                stream.begin().await?;
                Ok(stream)
            };
            let stream = begun.await.map_err(|failure| self.refusal(&failure))?;
            slot.record_first_byte();
            let stream = OwnedStream { slot, _usage: usage, stream };
            return Ok(OwnedAnswer::Stream(Box::new(stream)));
        }
        let answer =
            client.complete(engine_call).await.map_err(|failure| self.refusal(&failure))?;
        Ok(OwnedAnswer::Whole(OwnedWhole { body: answer.body, _slot: slot, _usage: usage }))
    }

    /// Calls a plain service up to the first piece of its answer's body, after a wait in the queue.
    pub(crate) async fn call_service(
        &self,
        call: &RelayCall,
        method: Method,
        path: http::uri::PathAndQuery,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<OwnedPlain, RelayRefusal> {
        let UpstreamClient::Service(client) = &self.client else {
            return Err(RelayRefusal::elsewhere("the upstream isn't a plain service"));
        };
        let slot = self.acquire_slot(call).await?;
        let idempotency_key: Option<HeaderValue> =
            headers.get(wheel_ingress::header_names::IDEMPOTENCY_KEY).cloned();
        let service_call = ServiceCall {
            request_id: call.request_id.clone(),
            method,
            path,
            headers: without_system_headers(headers),
            body,
            idempotency_key,
            idempotent: call.repeatable,
            timeouts: CallTimeouts::default(),
        };
        let answer = client.call(service_call).await;
        let mut answer = answer.map_err(|failure| self.refusal(&failure))?;
        if let Some(rest) = asked_rest(answer.status, &answer.headers) {
            self.rest.record(rest);
        }
        answer.begin().await.map_err(|failure| self.refusal(&failure))?;
        answer.headers = without_system_headers(answer.headers);
        Ok(OwnedPlain { answer, slot })
    }

    /// The refusal for a failed call; records the rest that the upstream asks for.
    fn refusal(&self, failure: &CallFailure) -> RelayRefusal {
        if let Some(rest) = failure.rest() {
            self.rest.record(rest);
        }
        upstream_refusal(failure)
    }

    /// Refuses a call while the upstream rests.
    fn check_rest(&self) -> Result<(), RelayRefusal> {
        match self.rest.remaining() {
            None => Ok(()),
            Some(rest) => Err(RelayRefusal {
                retry_after_ms: u64::try_from(rest.as_millis()).ok(),
                ..RelayRefusal::elsewhere("the upstream has asked not to be called")
            }),
        }
    }

    /// Waits for a slot of an upstream that doesn't rest.
    async fn acquire_slot(&self, call: &RelayCall) -> Result<SlotGuard, RelayRefusal> {
        self.check_rest()?;
        let now = self.clock.at(Instant::now());
        let age_us = call.age_ms.saturating_mul(1_000);
        let arrival = now.as_micros().saturating_sub(age_us);
        let request = QueuedRequest {
            id: call.request_id.clone(),
            caller: call.caller.clone(),
            weight: call.weight,
            rank: call.rank,
            model: call.model.clone().unwrap_or_else(|| ModelName::new("")),
            adapter: call.adapter.clone(),
            arrival: wheel_types::MonotonicTime::from_micros(arrival),
            deadline: now + call.remaining(),
            cost: std::time::Duration::from_millis(call.cost_ms),
            kv_tokens: 0,
        };
        let slot = self.queue.acquire(request).await.map_err(RelayRefusal::from)?;
        // A rest may have begun in the meantime.
        self.check_rest()?;
        Ok(slot)
    }
}

impl Drop for OwnedUpstream {
    fn drop(&mut self) {
        self.disowned.cancel();
    }
}

fn upstream_refusal(failure: &CallFailure) -> RelayRefusal {
    debug_assert!(failure.outcome() != RequestOutcome::Ran, "a failed call has no answer");
    let retry_after_ms = failure.rest().and_then(|rest| u64::try_from(rest.as_millis()).ok());
    RelayRefusal {
        retry_after_ms,
        ..RelayRefusal::upstream_failed(failure.to_string(), failure.outcome())
    }
}
