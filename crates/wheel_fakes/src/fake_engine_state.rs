//! The state of a fake engine.

use std::collections::{HashMap, HashSet};

use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wheel_types::{
    AdapterName, AdapterState, EngineOrder, EngineState, LoadReport, ModelName, ModelPhase,
    ModelState, OrderAction, OrderReason, OrderReply, RequestId, RequestRank,
};

use crate::call_headers::CallHeaders;

/// State and counters of one fake engine, guarded by one lock.
#[derive(Default)]
pub(crate) struct FakeEngineState {
    pub(crate) state: EngineState,
    pub(crate) orders_carried: u64,
    pub(crate) max_used_mib: u64,
    /// Calls that were running or waiting when the unload of their model began.
    pub(crate) calls_unloaded: u64,
    pub(crate) calls_refused: u64,
    pub(crate) runs: HashMap<RequestId, u64>,
    pub(crate) resumes: HashMap<RequestId, u64>,
    pub(crate) running: Vec<RunningCall>,
    pub(crate) prefixes: HashSet<String>,
    pub(crate) load_report: Option<(Instant, LoadReport)>,
    pub(crate) events: Vec<(Instant, Value)>,
    replies: HashMap<RequestId, OrderReply>,
    next_number: u64,
}

/// A generation that holds a slot, or that waits for one as long as it has a `waiter`.
pub(crate) struct RunningCall {
    pub(crate) number: u64,
    pub(crate) request: RequestId,
    pub(crate) attempt: String,
    pub(crate) cancelled: CancellationToken,
    model: ModelName,
    rank: RequestRank,
    waiter: Option<oneshot::Sender<()>>,
}

impl FakeEngineState {
    /// Accepts or refuses an order. The flag is true if the action is new and begins now; a repeated
    /// order gets its first reply again.
    pub(crate) fn handle_order(
        &mut self,
        order: &EngineOrder,
        enforces_fencing: bool,
        checks_memory: bool,
    ) -> (OrderReply, bool) {
        if let Some(reply) = self.replies.get(&order.order_id) {
            return (reply.clone(), false);
        }
        let reason = self.refusal(order, enforces_fencing, checks_memory);
        if enforces_fencing && reason != Some(OrderReason::StaleFencingNumber) {
            self.state.fencing_number = order.fencing_number;
        }
        let fencing_number = self.state.fencing_number;
        let order_id = order.order_id.clone();
        let reply = OrderReply { order_id, accepted: reason.is_none(), reason, fencing_number };
        self.replies.insert(order.order_id.clone(), reply.clone());
        self.state.recent_orders.push(order.order_id.clone());
        if reply.accepted {
            self.orders_carried += 1;
            self.begin_action(&order.action);
        }
        let is_new = reply.accepted;
        (reply, is_new)
    }

    fn refusal(
        &self,
        order: &EngineOrder,
        enforces_fencing: bool,
        checks_memory: bool,
    ) -> Option<OrderReason> {
        let free_mib = self.state.memory_mib.saturating_sub(self.state.used_mib());
        match &order.action {
            _ if enforces_fencing && order.fencing_number < self.state.fencing_number => {
                Some(OrderReason::StaleFencingNumber)
            }
            _ if order.incarnation != self.state.incarnation => Some(OrderReason::WrongIncarnation),
            OrderAction::LoadModel { model, version, .. }
                if self.find(model, *version).is_some() =>
            {
                Some(OrderReason::AlreadyThere)
            }
            OrderAction::LoadAdapter { model, adapter, .. } if self.has_adapter(model, adapter) => {
                Some(OrderReason::AlreadyThere)
            }
            OrderAction::LoadAdapter { model, .. }
                if self.find_loaded(model.as_str()).is_none() =>
            {
                Some(OrderReason::UnknownModel)
            }
            action if checks_memory && action.required_mib() > free_mib => {
                Some(OrderReason::NoMemory)
            }
            OrderAction::UnloadModel { model, version }
                if self.phase(model, *version) != Some(ModelPhase::Loaded) =>
            {
                Some(OrderReason::UnknownModel)
            }
            OrderAction::UnloadAdapter { model, adapter } if !self.has_adapter(model, adapter) => {
                Some(OrderReason::UnknownModel)
            }
            _ => None,
        }
    }

    fn begin_action(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel { model, version, memory_mib } => {
                self.state.models.push(ModelState {
                    model: model.clone(),
                    version: *version,
                    phase: ModelPhase::Loading,
                    memory_mib: *memory_mib,
                    adapters: Vec::new(),
                });
            }
            OrderAction::UnloadModel { model, version } => {
                let calls = self.running.iter().filter(|call| &call.model == model);
                self.calls_unloaded += calls.count() as u64;
                self.set_phase(model, *version, ModelPhase::Unloading);
            }
            OrderAction::LoadAdapter { model, adapter, memory_mib } => {
                let (adapter, memory_mib) = (adapter.clone(), *memory_mib);
                let state = AdapterState { adapter, phase: ModelPhase::Loading, memory_mib };
                if let Some(index) = self.find_loaded(model.as_str()) {
                    self.state.models[index].adapters.push(state);
                }
            }
            OrderAction::UnloadAdapter { .. } => {}
            OrderAction::SetRole { role } => self.state.role = *role,
        }
        self.max_used_mib = self.max_used_mib.max(self.state.used_mib());
    }

    /// Completes an action that takes time.
    pub(crate) fn finish_action(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel { model, version, .. } => {
                self.set_phase(model, *version, ModelPhase::Loaded);
                for checkpoints in
                    [&mut self.state.memory_checkpoints, &mut self.state.disk_checkpoints]
                {
                    if !checkpoints.contains(model) {
                        checkpoints.push(model.clone());
                    }
                }
            }
            OrderAction::UnloadModel { model, version } => {
                let unloaded = self.find(model, *version);
                unloaded.map(|index| self.state.models.remove(index));
            }
            OrderAction::LoadAdapter { model, adapter, .. } => {
                for state in self.models_mut(model).flat_map(|state| &mut state.adapters) {
                    if &state.adapter == adapter {
                        state.phase = ModelPhase::Loaded;
                    }
                }
            }
            OrderAction::UnloadAdapter { model, adapter } => {
                for state in self.models_mut(model) {
                    state.adapters.retain(|state| &state.adapter != adapter);
                }
            }
            OrderAction::SetRole { .. } => {}
        }
    }

    /// True if `name`, which is a model or `model:adapter`, is loaded.
    pub(crate) fn serves(&self, name: &str) -> bool {
        let (model, adapter) = name.split_once(':').unwrap_or((name, ""));
        let Some(index) = self.find_loaded(model) else { return false };
        let adapters = &mut self.state.models[index].adapters.iter();
        let is_ready = |candidate: &AdapterState| {
            candidate.phase == ModelPhase::Loaded && candidate.adapter.as_str() == adapter
        };
        adapter.is_empty() || adapters.any(is_ready)
    }

    /// Counts a run and grants it a slot, which the receiver signals.
    pub(crate) fn start_call(
        &mut self,
        headers: &CallHeaders,
        name: &str,
        slots: usize,
    ) -> (u64, CancellationToken, oneshot::Receiver<()>) {
        let counts = if headers.resume_from > 0 { &mut self.resumes } else { &mut self.runs };
        *counts.entry(headers.request.clone()).or_default() += 1;
        self.next_number += 1;
        let (waiter, slot_grant) = oneshot::channel();
        let mut call = RunningCall {
            number: self.next_number,
            request: headers.request.clone(),
            attempt: headers.attempt.clone(),
            cancelled: CancellationToken::new(),
            model: ModelName::from(name.split_once(':').map_or(name, |(model, _)| model)),
            rank: headers.rank,
            waiter: Some(waiter),
        };
        if self.running.len() - self.waiting() < slots {
            call.grant_slot();
        }
        let cancelled = call.cancelled.clone();
        self.running.push(call);
        (self.next_number, cancelled, slot_grant)
    }

    /// Ends a run and passes its slot, if it had one, to the most urgent waiting call.
    pub(crate) fn end_call(&mut self, number: u64) {
        let Some(index) = self.running.iter().position(|call| call.number == number) else {
            return;
        };
        let was_waiting = self.running.remove(index).waiter.is_some();
        let waiting = self.running.iter_mut().filter(|call| call.waiter.is_some());
        match waiting.min_by_key(|call| (call.rank, call.number)) {
            Some(next) if !was_waiting => next.grant_slot(),
            _ => {}
        }
    }

    /// Number of calls that wait for a slot.
    pub(crate) fn waiting(&self) -> usize {
        self.running.iter().filter(|call| call.waiter.is_some()).count()
    }

    /// Records that a prompt prefix is now in the KV cache.
    pub(crate) fn cache_prefix(&mut self, prefix_hash: &str) {
        if self.prefixes.insert(prefix_hash.to_owned()) {
            let sequence = self.events.len() + 1;
            let event = json!({"sequence": sequence, "kind": "stored", "prefix_hash": prefix_hash});
            self.events.push((Instant::now(), event));
        }
    }

    /// Clears everything that a restart clears; counters and checkpoints stay.
    pub(crate) fn restart(&mut self) {
        self.state.incarnation = self.state.incarnation.next();
        self.state.models.clear();
        self.state.recent_orders.clear();
        self.state.fencing_number = Default::default();
        self.replies.clear();
        self.load_report = None;
        self.running.clear();
        self.prefixes.clear();
    }

    /// The index of the highest loaded version of `model`.
    fn find_loaded(&self, model: &str) -> Option<usize> {
        let states = self.state.models.iter().enumerate();
        states
            .filter(|(_, state)| state.model.as_str() == model && state.phase == ModelPhase::Loaded)
            .max_by_key(|(_, state)| state.version)
            .map(|(index, _)| index)
    }

    fn find(&self, model: &ModelName, version: u32) -> Option<usize> {
        let mut states = self.state.models.iter();
        states.position(|state| &state.model == model && state.version == version)
    }

    fn phase(&self, model: &ModelName, version: u32) -> Option<ModelPhase> {
        self.find(model, version).map(|index| self.state.models[index].phase)
    }

    fn set_phase(&mut self, model: &ModelName, version: u32, phase: ModelPhase) {
        if let Some(index) = self.find(model, version) {
            self.state.models[index].phase = phase;
        }
    }

    fn has_adapter(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let states = self.state.models.iter().filter(|state| &state.model == model);
        states.flat_map(|state| &state.adapters).any(|state| &state.adapter == adapter)
    }

    fn models_mut(&mut self, model: &ModelName) -> impl Iterator<Item = &mut ModelState> {
        self.state.models.iter_mut().filter(move |state| &state.model == model)
    }
}

impl RunningCall {
    fn grant_slot(&mut self) {
        // A call that was dropped meanwhile releases its slot itself.
        let _ = self.waiter.take().map(|waiter| waiter.send(()));
    }
}
