//! Routing, queueing and execution of requests in a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_policy::{
    AdmissionResult, QueuedRequest, RefusedRequest, RouteDecision, RouteQuery, SlotSample,
};
use wheel_types::{ModelName, ModelPhase, RequestId};

use crate::call_record::CallOutcome;
use crate::replay_run::{PLAN_DELAY, ReplayEvent, ReplayRun};

/// Time until a request is routed again after the engine that it was sent to couldn't take it.
const REROUTE_DELAY: Duration = Duration::from_millis(5);
/// Answer tokens that the daemon assumes before its first measurement.
const EXPECTED_TOKENS: f64 = 200.0;
/// Expected wait for a load in a data centre without engines.
const NO_ENGINE_WAIT: Duration = Duration::from_secs(60);

impl ReplayRun<'_> {
    /// Sends a request to a replica, or to a cold queue if there is none.
    pub(crate) fn dispatch(&mut self, index: usize) {
        let call = &self.calls[index];
        let (model, centre) = (call.arrival.model.clone(), call.centre);
        let query = RouteQuery {
            model: model.clone(),
            adapter: call.arrival.adapter.clone(),
            rank: call.rank,
            ..RouteQuery::default()
        };
        match self.centres[centre].router.choose(self.now, &query) {
            RouteDecision::Engine { upstream, .. } => {
                let rank = self.calls[index].rank;
                self.centres[centre].router.record_sent(self.now, &upstream, None);
                self.centres[centre].router.record_rank(&upstream, rank, true);
                let found = self.engines.iter().position(|one| one.view.upstream == upstream);
                let Some(engine) = found else { return };
                self.adjust_in_use(engine, &model, 1);
                let at = self.now + self.delay(centre, self.engines[engine].centre);
                self.schedule(at, ReplayEvent::Offer { call: index, engine });
            }
            RouteDecision::Cold | RouteDecision::Exhausted => {
                let home = self.home(&model, centre);
                let at = self.now + self.delay(centre, home);
                self.calls[index].cold_since.get_or_insert(self.now);
                self.schedule(at, ReplayEvent::ColdOffer { call: index, centre: home });
            }
        }
    }

    pub(crate) fn adjust_in_use(&mut self, engine: usize, model: &ModelName, change: i64) {
        let now = self.now;
        if let Some(placed) = self.engines[engine].placed(model) {
            placed.in_use = placed.in_use.saturating_add_signed(change as i32);
            placed.last_used = now;
        }
    }

    fn queued_request(&self, index: usize) -> QueuedRequest {
        let call = &self.calls[index];
        let speed = &self.site.speed;
        let cost_s = f64::from(call.arrival.tokens_in) / speed.prefill_rate
            + EXPECTED_TOKENS / speed.decode_rate;
        QueuedRequest {
            id: RequestId::new(index.to_string()),
            caller: call.arrival.caller.clone(),
            rank: call.rank,
            model: call.arrival.model.clone(),
            adapter: call.arrival.adapter.clone(),
            arrival: call.arrived_at,
            deadline: call.deadline,
            cost: Duration::from_secs_f64(cost_s),
            ..QueuedRequest::default()
        }
    }

    pub(crate) fn offer(&mut self, index: usize, engine: usize) {
        let model = self.calls[index].arrival.model.clone();
        let reachable = self.can_reach(self.calls[index].centre, self.engines[engine].centre);
        let can_serve = self.engines[engine].alive && self.engines[engine].has_loaded(&model);
        if !can_serve || !reachable {
            self.adjust_in_use(engine, &model, -1);
            self.record_end(index, engine, Duration::ZERO, false);
            self.schedule(self.now + REROUTE_DELAY, ReplayEvent::Dispatch(index));
            return;
        }
        self.end_cold_wait(index);
        let request = self.queued_request(index);
        match self.engines[engine].queue.offer(self.now, request) {
            AdmissionResult::Queued { .. } => {
                self.demand.adjust_queued(&model, 1);
                self.start(engine);
                self.schedule_expiry(engine);
                if self.demand.is_crowded(&model) {
                    self.schedule_plan(self.engines[engine].centre, Duration::from_secs(1));
                }
            }
            AdmissionResult::Refused { retry_after, .. } => {
                self.adjust_in_use(engine, &model, -1);
                self.record_end(index, engine, Duration::ZERO, true);
                self.refuse(index, retry_after);
            }
        }
    }

    /// Ends a request's wait for a load and adds it to the request's total.
    fn end_cold_wait(&mut self, index: usize) {
        let call = &mut self.calls[index];
        if let Some(since) = call.cold_since.take() {
            call.cold_wait += self.now.since(since);
        }
    }

    fn record_end(&mut self, index: usize, engine: usize, span: Duration, succeeded: bool) {
        let centre = self.calls[index].centre;
        let upstream = self.engines[engine].view.upstream.clone();
        let rank = self.calls[index].rank;
        self.centres[centre].router.record_end(self.now, &upstream, span, succeeded);
        self.centres[centre].router.record_rank(&upstream, rank, false);
    }

    pub(crate) fn cold_offer(&mut self, index: usize, centre: usize) {
        self.calls[index].centre = centre;
        let model = self.calls[index].arrival.model.clone();
        let ready = self.centres[centre].router.replicas(&model).iter().any(|one| one.accepts_work);
        if ready {
            self.dispatch(index);
            return;
        }
        let wait = self.load_wait(centre, &model);
        let request = self.queued_request(index);
        match self.centres[centre].cold.offer(self.now, request, wait) {
            AdmissionResult::Queued { .. } => {
                if let Some(due) = self.centres[centre].cold.next_deadline() {
                    self.schedule(due + Duration::from_micros(1), ReplayEvent::ColdExpire(centre));
                }
            }
            AdmissionResult::Refused { retry_after, .. } => self.refuse(index, retry_after),
        }
        self.schedule_plan(centre, PLAN_DELAY);
    }

    /// Expected time until `model` is loaded in a data centre.
    fn load_wait(&self, centre: usize, model: &ModelName) -> Duration {
        let engines = self.engines.iter().filter(|one| one.centre == centre && one.alive);
        let mut best: Option<Duration> = None;
        for engine in engines {
            let placed = engine.view.models.iter().find(|placed| &placed.model == model);
            let source = placed.map_or_else(|| engine.view.source(model), |placed| placed.source);
            let expected = self.centres[centre].placer.expected_load(model, source);
            let wait = match placed {
                Some(placed) if placed.phase == ModelPhase::Loading => {
                    expected.saturating_sub(self.now.since(placed.since))
                }
                _ => expected,
            };
            best = Some(best.map_or(wait, |other| other.min(wait)));
        }
        best.unwrap_or(NO_ENGINE_WAIT)
    }

    fn start(&mut self, engine: usize) {
        while let Some(request) = self.engines[engine].queue.take_next(self.now) {
            let Ok(index) = request.id.as_str().parse::<usize>() else { return };
            self.engines[engine].accrue(self.now);
            self.engines[engine].running.insert(index);
            self.demand.adjust_queued(&request.model, -1);
            self.demand.adjust_running(&request.model, 1);
            let adapter = self.adapter_wait(engine, index);
            let arrival = &self.calls[index].arrival;
            let speed = &self.site.speed;
            let prefill_s = f64::from(arrival.tokens_in) / speed.prefill_rate;
            let decode_s = f64::from(arrival.tokens_out) / speed.decode_rate;
            let first = self.now + speed.base + adapter + Duration::from_secs_f64(prefill_s);
            let end = first + Duration::from_secs_f64(decode_s);
            self.calls[index].first_byte.get_or_insert(first);
            let epoch = self.epochs[engine];
            self.schedule(end, ReplayEvent::Finish { call: index, engine, epoch });
        }
        self.expire(engine);
    }

    /// Loads the request's adapter if the engine doesn't have it; returns the time of that load.
    fn adapter_wait(&mut self, engine: usize, index: usize) -> Duration {
        let Some(adapter) = self.calls[index].arrival.adapter.clone() else {
            return Duration::ZERO;
        };
        match self.demand.touch_adapter(engine, &adapter) {
            true => Duration::ZERO,
            false => {
                self.counts.adapter_loads += 1;
                self.site.speed.adapter_load
            }
        }
    }

    pub(crate) fn finish(&mut self, index: usize, engine: usize, epoch: u64) {
        if epoch != self.epochs[engine] {
            return;
        }
        let call = &mut self.calls[index];
        call.outcome = Some(CallOutcome::Served);
        let model = call.arrival.model.clone();
        let speed = &self.site.speed;
        let prefill_s = f64::from(call.arrival.tokens_in) / speed.prefill_rate;
        let decode_s = f64::from(call.arrival.tokens_out) / speed.decode_rate;
        let first = speed.base + Duration::from_secs_f64(prefill_s);
        let slot_time = first + Duration::from_secs_f64(decode_s);
        let sample = SlotSample { slot_time, first_byte: Some(first) };
        self.engines[engine].accrue(self.now);
        self.engines[engine].running.remove(&index);
        self.engines[engine].queue.finish(self.now, &RequestId::new(index.to_string()), sample);
        self.adjust_in_use(engine, &model, -1);
        self.demand.adjust_running(&model, -1);
        let upstream = self.engines[engine].view.upstream.clone();
        let centre = self.calls[index].centre;
        self.centres[centre].router.record_first_byte(&upstream, first);
        self.record_end(index, engine, slot_time, true);
        self.start(engine);
    }

    fn schedule_expiry(&mut self, engine: usize) {
        let Some(due) = self.engines[engine].queue.next_deadline() else { return };
        let due = (due + Duration::from_micros(1)).max(self.now);
        let planned = self.engines[engine].expiry_due.filter(|planned| *planned > self.now);
        if planned.is_none_or(|planned| due < planned) {
            self.engines[engine].expiry_due = Some(due);
            self.schedule(due, ReplayEvent::Expire(engine));
        }
    }

    pub(crate) fn expire(&mut self, engine: usize) {
        for refused in self.engines[engine].queue.expire(self.now) {
            self.demand.adjust_queued(&refused.request.model, -1);
            self.adjust_in_use(engine, &refused.request.model, -1);
            self.record_refusal(engine, &refused);
        }
        self.schedule_expiry(engine);
    }

    /// Refuses a request that its engine's queue dropped. The engine didn't cause it, so
    /// it is recorded as a success of the engine.
    fn record_refusal(&mut self, engine: usize, refused: &RefusedRequest) {
        if let Ok(index) = refused.request.id.as_str().parse::<usize>() {
            self.record_end(index, engine, Duration::ZERO, true);
            self.refuse(index, refused.retry_after);
        }
    }

    pub(crate) fn expire_cold(&mut self, centre: usize) {
        let waits: BTreeMap<ModelName, Duration> = self
            .demand
            .models()
            .map(|model| (model.clone(), self.load_wait(centre, model)))
            .collect();
        let wait = |model: &ModelName| waits.get(model).copied().unwrap_or_default();
        for refused in self.centres[centre].cold.expire(self.now, wait) {
            self.refuse_expired(&refused);
        }
    }

    fn refuse_expired(&mut self, refused: &RefusedRequest) {
        if let Ok(index) = refused.request.id.as_str().parse::<usize>() {
            self.refuse(index, refused.retry_after);
        }
    }

    /// Refuses a request. Its caller retries it once, after `retry_after`.
    fn refuse(&mut self, index: usize, retry_after: Duration) {
        self.calls[index].cold_refused = self.calls[index].cold_since.is_some();
        self.end_cold_wait(index);
        let call = &mut self.calls[index];
        debug_assert_eq!(call.outcome, None, "a request ends once");
        call.outcome = Some(CallOutcome::Refused { at: self.now, retry_after });
        let retry_at = self.now + retry_after;
        if call.retry_of.is_some() || retry_at > self.end {
            return;
        }
        let mut retry = call.clone();
        retry.retry_of = Some(index);
        retry.deadline = retry_at + call.deadline.since(call.arrived_at);
        retry.arrived_at = retry_at;
        retry.centre = call.arrival.centre;
        retry.cold_wait = Duration::ZERO;
        retry.cold_refused = false;
        retry.outcome = None;
        self.calls.push(retry);
        let number = self.calls.len() - 1;
        self.schedule(retry_at, ReplayEvent::Dispatch(number));
    }
}
