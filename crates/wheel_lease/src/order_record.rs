//! The record of an order that was sent.

use wheel_types::{
    AdapterName, EngineState, ModelName, MonotonicTime, OrderAction, RequestId, UpstreamName,
};

/// An order that isn't settled yet, or that could still arrive.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderRecord {
    /// Its id.
    pub order_id: RequestId,
    /// The engine.
    pub upstream: UpstreamName,
    /// The requested action.
    pub action: OrderAction,
    /// True for an order that only raises the engine's fencing number.
    pub fence: bool,
    /// When the holding period in which it was sent began.
    pub began: MonotonicTime,
    /// From when on it can't reach the engine any more.
    pub expires: MonotonicTime,
    /// What is known of it.
    pub phase: OrderPhase,
    /// True once a state has settled it. It is kept until it expires, because a copy of it could
    /// still reach the engine's next incarnation.
    pub settled: bool,
}

/// What is known of an [`OrderRecord`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderPhase {
    /// There is no answer, or none that is conclusive.
    Open,
    /// The engine confirmed it at this time.
    Done(MonotonicTime),
    /// It was sent to an earlier incarnation; an answer says nothing about the present one.
    Stale,
}

impl OrderRecord {
    /// Settles the order if a state requested at `requested_at` shows whether it was executed.
    pub(crate) fn settle(
        &mut self,
        requested_at: MonotonicTime,
        state: &EngineState,
        restarted: bool,
    ) {
        if restarted {
            self.phase = OrderPhase::Stale;
            self.settled = false;
        }
        let shown = state.recent_orders.contains(&self.order_id);
        let done = matches!(self.phase, OrderPhase::Done(at) if at < requested_at);
        self.settled |= shown || done || requested_at >= self.expires;
    }

    /// True if the result depends on which of the two is executed first.
    pub(crate) fn conflicts_with(&self, action: &OrderAction) -> bool {
        match (target(&self.action), target(action)) {
            (Some((model, adapter)), Some((other, other_adapter))) => {
                let both_adapters = adapter.is_some() && other_adapter.is_some();
                model == other && !(both_adapters && adapter != other_adapter)
            }
            (None, None) => true,
            _ => false,
        }
    }
}

/// The model and adapter that an action concerns; `None` for a change of role.
fn target(action: &OrderAction) -> Option<(&ModelName, Option<&AdapterName>)> {
    match action {
        OrderAction::LoadModel { model, .. } | OrderAction::UnloadModel { model, .. } => {
            Some((model, None))
        }
        OrderAction::LoadAdapter { model, adapter, .. }
        | OrderAction::UnloadAdapter { model, adapter } => Some((model, Some(adapter))),
        OrderAction::SetRole { .. } => None,
    }
}
