//! The upstreams that a request may be sent to, with their expected times.

use std::time::Duration;

use metrics::counter;
use rand::Rng;
use wheel_policy::{
    EngineLoad, ModelResidency, PromptChain, SendStart, UpstreamCandidate, agreed_tokens,
    agreed_upstreams, best_expected_ms, choose_by_time, choose_upstream, is_slow, relative_speed,
};
use wheel_route::{EngineId, EngineInfo, FleetView, ServiceRates};
use wheel_types::UpstreamName;

use crate::engine_measures::SendMeter;
use crate::room_gate::GateAnswer;
use crate::upstream_search::UpstreamSearch;

/// What is the same for all candidates of one request.
struct RequestOutlook<'v> {
    rates: Option<&'v ServiceRates>,
    /// Tokens that the memory of an engine of the service holds; 0 if unknown.
    kv_tokens: u64,
    chain: PromptChain,
    /// The engines that all instances prefer for the prompt.
    agreed: Vec<&'v EngineId>,
}

impl UpstreamSearch<'_> {
    /// The index in `view.engines` of the best of the `ready` upstreams that `answer` allows.
    pub(crate) fn choose(
        &self,
        view: &FleetView,
        ready: &[usize],
        candidates: &[UpstreamCandidate],
        answer: &GateAnswer,
    ) -> Option<usize> {
        let is_kept_away = |index: usize| match answer {
            GateAnswer::Open => false,
            GateAnswer::Send(engines) => !engines.contains(&view.engines[index].id),
            GateAnswer::Wait(_) | GateAnswer::Refuse(_) => true,
        };
        let allowed = ready.iter().zip(candidates).map(|(index, candidate)| UpstreamCandidate {
            is_blocked: candidate.is_blocked || is_kept_away(*index),
            ..*candidate
        });
        let allowed: Vec<UpstreamCandidate> = allowed.collect();
        let draw = rand::rng().random();
        let may_probe = self.route.kind.is_repeatable() && self.route.max_attempts > 1;
        let chosen = match self.context.settings.controls_load {
            true => choose_by_time(&allowed, may_probe, draw),
            false => choose_upstream(&allowed, draw),
        };
        let index = ready[chosen?];
        let now = self.context.now();
        self.context.reach.lock().begin_probe(now, &view.engines[index].centre);
        Some(index)
    }

    /// The expected time to the first event at the best of the `ready` upstreams, rests and limits
    /// aside; `None` if none may be called or nothing has been measured.
    pub(crate) fn expected_time(&self, view: &FleetView, ready: &[usize]) -> Option<Duration> {
        let unblocked = vec![None; ready.len()];
        let candidates = self.candidates(view, ready, &unblocked, &unblocked);
        best_expected_ms(&candidates).map(|ms| Duration::from_secs_f64(ms / 1_000.0))
    }

    /// The `ready` upstreams as candidates, in the same order. Those with a rest or a limit may not be
    /// called now.
    pub(crate) fn candidates(
        &self,
        view: &FleetView,
        ready: &[usize],
        rests: &[Option<Duration>],
        limits: &[Option<Duration>],
    ) -> Vec<UpstreamCandidate> {
        let loads = self.context.state.loads_at(view, ready);
        let outlook = self.outlook(view, ready);
        let loads = ready.iter().zip(loads);
        let loads =
            loads.map(|(index, open)| self.load(view, &view.engines[*index], open, &outlook));
        let loads: Vec<EngineLoad> = loads.collect();
        let now = self.context.now();
        let outliers = self.context.outliers.lock();
        let is_suspect = |name: &UpstreamName| {
            outliers.is_ejected(now, name) && !outliers.wants_probe(now, name)
        };
        let reach = self.context.reach.lock();
        let blocked = rests.iter().zip(limits);
        let blocked = blocked.map(|(rest, limit)| rest.is_some() || limit.is_some());
        let inputs = ready.iter().zip(loads).zip(blocked);
        let candidate = |((index, load), is_blocked): ((&usize, EngineLoad), bool)| {
            let info = &view.engines[*index];
            let is_suspect = is_suspect(&UpstreamName::from(&*info.id.name));
            let residency = self.residency(info);
            let load = EngineLoad { is_suspect, ..load };
            let is_resident = residency == ModelResidency::Full;
            let rates = outlook.rates.filter(|_| is_resident);
            UpstreamCandidate {
                slots: info.slots,
                active: load.active,
                is_local: load.is_local,
                residency,
                is_suspect,
                is_unreachable: reach.is_avoided(now, &info.id, &info.centre),
                is_blocked,
                was_tried: self.tried.contains(&info.id),
                speed: load.speed,
                expected_ms: rates.map(|rates| load.first_event_ms(rates)),
                holds_prefix: load.held_tokens >= PromptChain::MIN_AGREED_TOKENS,
            }
        };
        inputs.map(candidate).collect()
    }

    /// Starts measuring a send to an upstream, and records what it will hold of the prompt.
    pub(crate) fn begin_measure(&self, info: &EngineInfo) -> SendMeter {
        let state = &self.context.state;
        let view = state.view();
        let ready = state.ready_indices(&view, self.service);
        let outlook = self.outlook(&view, &ready);
        let index = view.engines.iter().position(|engine| engine.id == info.id);
        let open = index.map(|index| state.loads_at(&view, &[index]));
        let open = open.and_then(|open| open.first().copied()).unwrap_or_default();
        let load = self.load(&view, info, open, &outlook);
        // Without what it should hold, so that a wrong expectation doesn't count as slowness.
        let unaided = EngineLoad { held_tokens: 0, ..load };
        let expected_ms = outlook.rates.map(|rates| unaided.first_event_ms(rates));
        if is_slow(load.speed) {
            let expected = expected_ms.map_or("unknown".to_owned(), |ms| format!("{ms:.0}"));
            let inputs = format!("speed {:.2}, expected_ms {expected}", load.speed);
            self.log.step("slow_upstream", &inputs);
        }
        if let Some(request) =
            self.request.generation.as_ref().filter(|_| !outlook.chain.is_empty())
        {
            let unread = load.unread_tokens();
            let held = request.prompt_tokens.saturating_sub(unread);
            counter!("wheel_prompt_tokens_total", "kind" => "expected_held").increment(held);
            counter!("wheel_prompt_tokens_total", "kind" => "unread").increment(unread);
            let now = state.measures.now();
            state.measures.prefixes.lock().record(now, &info.id, &request.model, &outlook.chain);
        }
        let start = SendStart {
            engine: info.id.clone(),
            service: info.service.clone(),
            expected_ms,
            pause_ms: outlook.rates.map_or(0.0, |rates| f64::from(rates.pause_ms)),
            stretch: load.stretch(),
            speed: load.speed,
            unread_tokens: load.unread_tokens(),
            has_slot: load.has_slot(),
        };
        SendMeter::begin(state, start)
    }

    fn outlook<'v>(&self, view: &'v FleetView, ready: &[usize]) -> RequestOutlook<'v> {
        let config = self.context.state.config();
        let spec = config.as_ref().and_then(|active| active.config.service(self.service));
        let profile = spec.and_then(|spec| spec.engine.as_ref());
        let chain = self.chain();
        let agreed = match chain.is_empty() {
            true => Vec::new(),
            false => {
                let infos = ready.iter().map(|index| &view.engines[*index]);
                let loaded = infos.filter(|info| self.residency(info) == ModelResidency::Full);
                agreed_upstreams(&chain, loaded.map(|info| &info.id))
            }
        };
        RequestOutlook {
            rates: view.rates.iter().find(|rates| rates.service == *self.service),
            kv_tokens: profile.map_or(0, |profile| profile.kv_tokens),
            chain,
            agreed,
        }
    }

    /// The beginnings of the prompt; empty where requests aren't placed by them.
    fn chain(&self) -> PromptChain {
        let request = self.request.generation.as_ref();
        let Some(request) = request.filter(|_| self.context.settings.controls_load) else {
            return PromptChain::default();
        };
        let parts = request.parts.iter().map(|part| (part.id, part.tokens));
        PromptChain::new(
            self.team.map(|team| &**team),
            &request.model,
            request.adapter.as_deref(),
            parts,
        )
    }

    /// The load of an upstream that has `open` requests and tokens.
    fn load(
        &self,
        view: &FleetView,
        info: &EngineInfo,
        open: (u32, u64),
        outlook: &RequestOutlook<'_>,
    ) -> EngineLoad {
        let (active, open_tokens) = open;
        let speed = view.speeds.binary_search_by(|speed| speed.engine.cmp(&info.id));
        let speed = speed.map_or(1.0, |index| relative_speed(view.speeds[index].percent));
        let prompt_tokens =
            self.request.generation.as_ref().map_or(0, |request| request.prompt_tokens);
        let kv_tokens = outlook.kv_tokens;
        let fill = if kv_tokens == 0 { 0.0 } else { open_tokens as f64 / kv_tokens as f64 };
        EngineLoad {
            slots: info.slots,
            active,
            open_tokens,
            kv_tokens,
            speed,
            prompt_tokens,
            held_tokens: self.held_tokens(info, outlook, fill).min(prompt_tokens),
            is_local: info.centre == self.context.settings.centre,
            is_suspect: false,
        }
    }

    /// Tokens of the prompt that an upstream probably holds.
    fn held_tokens(&self, info: &EngineInfo, outlook: &RequestOutlook<'_>, fill: f64) -> u64 {
        let request = self.request.generation.as_ref().filter(|_| !outlook.chain.is_empty());
        let Some(request) = request.filter(|_| self.residency(info) == ModelResidency::Full) else {
            return 0;
        };
        let measures = &self.context.state.measures;
        let (now, chain) = (measures.now(), &outlook.chain);
        let sent = measures.prefixes.lock().sent_tokens(now, &info.id, &request.model, chain, fill);
        let is_agreed = outlook.agreed.contains(&&info.id);
        sent.max(if is_agreed { agreed_tokens(chain, fill) } else { 0 })
    }

    pub(crate) fn residency(&self, info: &EngineInfo) -> ModelResidency {
        match &self.request.generation {
            None => ModelResidency::Full,
            Some(request) if info.holds(&request.model, request.adapter.as_deref()) => {
                ModelResidency::Full
            }
            Some(request) if info.holds(&request.model, None) => ModelResidency::ModelOnly,
            Some(_) => ModelResidency::Absent,
        }
    }
}
