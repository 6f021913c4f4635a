//! What a fake engine remembers.

use std::collections::{HashMap, HashSet};

use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wheel_types::{
    AdapterState, EngineOrder, EngineState, ModelName, ModelPhase, ModelState, OrderAction,
    OrderReason, OrderReply, RequestId, RequestRank,
};

/// State and counters of one fake engine, behind one lock.
#[derive(Default)]
pub(crate) struct EngineDesk {
    pub(crate) state: EngineState,
    pub(crate) orders_carried: u64,
    pub(crate) max_used_mib: u64,
    pub(crate) runs: HashMap<RequestId, u64>,
    pub(crate) resumes: HashMap<RequestId, u64>,
    pub(crate) running: Vec<RunningCall>,
    pub(crate) waiting: Vec<WaitingCall>,
    pub(crate) prefixes: HashSet<String>,
    pub(crate) events: Vec<(Instant, CacheNote)>,
    replies: HashMap<RequestId, OrderReply>,
    next_number: u64,
}

/// A generation that holds a slot or waits for one.
pub(crate) struct RunningCall {
    pub(crate) number: u64,
    pub(crate) request: RequestId,
    pub(crate) attempt: String,
    pub(crate) cancelled: CancellationToken,
}

/// A generation that waits for a slot.
pub(crate) struct WaitingCall {
    rank: RequestRank,
    number: u64,
    ready: oneshot::Sender<()>,
}

/// One cache event.
#[derive(Clone)]
#[derive(Serialize)]
pub(crate) struct CacheNote {
    pub(crate) sequence: u64,
    pub(crate) kind: &'static str,
    pub(crate) prefix_hash: String,
}

impl EngineDesk {
    /// Takes or refuses an order; the flag tells whether its action is new and now begins.
    pub(crate) fn take_order(
        &mut self,
        order: &EngineOrder,
        fenced: bool,
        checks_memory: bool,
    ) -> (OrderReply, bool) {
        if let Some(reply) = self.replies.get(&order.order_id) {
            return (reply.clone(), false);
        }
        let reason = self.refusal(order, fenced, checks_memory);
        if fenced && reason != Some(OrderReason::StaleFencingNumber) {
            self.state.fencing_number = order.fencing_number;
        }
        let fencing_number = self.state.fencing_number;
        let order_id = order.order_id.clone();
        let reply = OrderReply { order_id, accepted: reason.is_none(), reason, fencing_number };
        self.replies.insert(order.order_id.clone(), reply.clone());
        self.state.recent_orders.push(order.order_id.clone());
        if reply.accepted {
            self.orders_carried += 1;
            self.begin(&order.action);
        }
        let begun = reply.accepted;
        (reply, begun)
    }

    fn refusal(
        &self,
        order: &EngineOrder,
        fenced: bool,
        checks_memory: bool,
    ) -> Option<OrderReason> {
        let free_mib = self.state.memory_mib.saturating_sub(self.state.used_mib());
        match &order.action {
            _ if fenced && order.fencing_number < self.state.fencing_number => {
                Some(OrderReason::StaleFencingNumber)
            }
            _ if order.incarnation != self.state.incarnation => Some(OrderReason::WrongIncarnation),
            OrderAction::LoadModel { model, .. } if self.state.find(model).is_some() => {
                Some(OrderReason::AlreadyThere)
            }
            OrderAction::LoadAdapter { model, adapter, .. } if self.has_adapter(model, adapter) => {
                Some(OrderReason::AlreadyThere)
            }
            OrderAction::LoadAdapter { model, .. } if !self.is_loaded(model) => {
                Some(OrderReason::UnknownModel)
            }
            action if checks_memory && action.takes_mib() > free_mib => Some(OrderReason::NoMemory),
            OrderAction::UnloadModel { model, .. } if !self.is_loaded(model) => {
                Some(OrderReason::UnknownModel)
            }
            OrderAction::UnloadAdapter { model, adapter } if !self.has_adapter(model, adapter) => {
                Some(OrderReason::UnknownModel)
            }
            _ => None,
        }
    }

    fn begin(&mut self, action: &OrderAction) {
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
            OrderAction::UnloadModel { model, .. } => {
                self.set_phase(model, ModelPhase::Unloading);
            }
            OrderAction::LoadAdapter { model, adapter, memory_mib } => {
                let (adapter, memory_mib) = (adapter.clone(), *memory_mib);
                let state = AdapterState { adapter, phase: ModelPhase::Loading, memory_mib };
                for adapters in self.adapters_mut(model) {
                    adapters.push(state.clone());
                }
            }
            OrderAction::UnloadAdapter { .. } => {}
            OrderAction::SetRole { role } => self.state.role = *role,
        }
        self.max_used_mib = self.max_used_mib.max(self.state.used_mib());
    }

    /// Ends an action that takes time.
    pub(crate) fn finish(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel { model, .. } => {
                self.set_phase(model, ModelPhase::Loaded);
                for held in [&mut self.state.memory_checkpoints, &mut self.state.disk_checkpoints] {
                    if !held.contains(model) {
                        held.push(model.clone());
                    }
                }
            }
            OrderAction::UnloadModel { model, .. } => {
                self.state.models.retain(|state| &state.model != model);
            }
            OrderAction::LoadAdapter { model, adapter, .. } => {
                for state in self.adapters_mut(model).flatten() {
                    if &state.adapter == adapter {
                        state.phase = ModelPhase::Loaded;
                    }
                }
            }
            OrderAction::UnloadAdapter { model, adapter } => {
                for adapters in self.adapters_mut(model) {
                    adapters.retain(|state| &state.adapter != adapter);
                }
            }
            OrderAction::SetRole { .. } => {}
        }
    }

    /// True if `name`, a model or `model:adapter`, answers requests.
    pub(crate) fn serves(&self, name: &str) -> bool {
        let (model, adapter) = name.split_once(':').unwrap_or((name, ""));
        self.state.models.iter().any(|state| {
            let ready = state
                .adapters
                .iter()
                .any(|held| held.adapter.as_str() == adapter && held.phase == ModelPhase::Loaded);
            let has_model = state.model.as_str() == model && state.phase == ModelPhase::Loaded;
            has_model && (adapter.is_empty() || ready)
        })
    }

    /// Counts a run and gives it a slot, at once or when the receiver fires.
    pub(crate) fn start_call(
        &mut self,
        request: &RequestId,
        attempt: &str,
        rank: RequestRank,
        resumed: bool,
        slots: usize,
    ) -> (u64, CancellationToken, oneshot::Receiver<()>) {
        let counts = if resumed { &mut self.resumes } else { &mut self.runs };
        *counts.entry(request.clone()).or_default() += 1;
        self.next_number += 1;
        let (number, cancelled) = (self.next_number, CancellationToken::new());
        let (ready, turn) = oneshot::channel();
        if self.running.len() - self.waiting.len() < slots {
            let _ = ready.send(());
        } else {
            self.waiting.push(WaitingCall { rank, number, ready });
        }
        let (request, attempt) = (request.clone(), attempt.to_owned());
        let call = RunningCall { number, request, attempt, cancelled: cancelled.clone() };
        self.running.push(call);
        (number, cancelled, turn)
    }

    /// Ends a run and passes its slot to the most urgent call that waits.
    pub(crate) fn end_call(&mut self, number: u64) {
        self.running.retain(|call| call.number != number);
        let waited = self.waiting.iter().any(|call| call.number == number);
        self.waiting.retain(|call| call.number != number);
        let next = (0..self.waiting.len())
            .min_by_key(|&index| (self.waiting[index].rank, self.waiting[index].number));
        match next {
            Some(index) if !waited => {
                let _ = self.waiting.swap_remove(index).ready.send(());
            }
            _ => {}
        }
    }

    /// Notes that a prompt prefix is now in the KV cache.
    pub(crate) fn cache_prefix(&mut self, prefix_hash: String) {
        if self.prefixes.insert(prefix_hash.clone()) {
            let sequence = self.events.len() as u64 + 1;
            let note = CacheNote { sequence, kind: "stored", prefix_hash };
            self.events.push((Instant::now(), note));
        }
    }

    /// Empties everything that a restart empties; counters and checkpoints stay.
    pub(crate) fn restart(&mut self) {
        self.state.incarnation = self.state.incarnation.next();
        self.state.models.clear();
        self.state.recent_orders.clear();
        self.state.fencing_number = Default::default();
        self.replies.clear();
        self.running.clear();
        self.waiting.clear();
        self.prefixes.clear();
    }

    fn is_loaded(&self, model: &ModelName) -> bool {
        self.state.find(model).is_some_and(|state| state.phase == ModelPhase::Loaded)
    }

    fn has_adapter(&self, model: &ModelName, adapter: &wheel_types::AdapterName) -> bool {
        let state = self.state.find(model);
        state.is_some_and(|state| state.adapters.iter().any(|held| &held.adapter == adapter))
    }

    fn set_phase(&mut self, model: &ModelName, phase: ModelPhase) {
        for state in self.state.models.iter_mut().filter(|state| &state.model == model) {
            state.phase = phase;
        }
    }

    fn adapters_mut(&mut self, model: &ModelName) -> impl Iterator<Item = &mut Vec<AdapterState>> {
        let states = self.state.models.iter_mut().filter(move |state| &state.model == model);
        states.map(|state| &mut state.adapters)
    }
}
