//! An order whose effect isn't known yet.

use wheel_types::{
    AdapterName, EngineState, ModelName, MonotonicTime, OrderAction, RequestId, UpstreamName,
};

/// An order that was given and isn't settled, or that could still arrive.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderRecord {
    /// Its id.
    pub order_id: RequestId,
    /// The engine.
    pub upstream: UpstreamName,
    /// What it asks.
    pub action: OrderAction,
    /// True for an order that only raises the engine's fencing number.
    pub fence: bool,
    /// When the tenure under which it was given began.
    pub began: MonotonicTime,
    /// When it can't reach the engine any more.
    pub expires: MonotonicTime,
    /// What is known.
    pub phase: OrderPhase,
    /// True once a reading has settled it. It is kept until it expires, because a copy of it could
    /// still reach the engine's next incarnation.
    pub settled: bool,
}

/// What is known of an [`OrderRecord`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderPhase {
    /// No answer, or none that tells.
    Open,
    /// The engine said so at this time.
    Done(MonotonicTime),
    /// It was given to an earlier incarnation; no answer tells about the present one.
    Stale,
}

impl OrderRecord {
    /// Settles the order if a reading asked for at `asked` shows whether it was carried out.
    pub(crate) fn settle(&mut self, asked: MonotonicTime, state: &EngineState, restarted: bool) {
        if restarted {
            self.phase = OrderPhase::Stale;
            self.settled = false;
        }
        let shown = state.recent_orders.contains(&self.order_id);
        let done = matches!(self.phase, OrderPhase::Done(at) if at < asked);
        self.settled |= shown || done || asked >= self.expires;
    }

    /// True if carrying out both in either order could go wrong.
    pub(crate) fn conflicts(&self, action: &OrderAction) -> bool {
        match (target(&self.action), target(action)) {
            (Some((model, adapter)), Some((other, other_adapter))) => {
                let apart = adapter.is_some() && other_adapter.is_some();
                model == other && !(apart && adapter != other_adapter)
            }
            (None, None) => true,
            _ => false,
        }
    }
}

/// The model and adapter that an action is about; `None` for a change of role.
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
