//! A request in a [`crate::DispatchQueue`].

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

use crate::DispatchRequest;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: DispatchRequest,
    /// Engines that can serve it, once they have room; none while its model is loaded nowhere.
    pub(crate) engines: Vec<EngineId>,
    /// When a load of its model ends, and the slots of the engine.
    pub(crate) load: Option<(MonotonicTime, u32)>,
}

impl WaitingRequest {
    /// Whether one of `engines` can serve it.
    pub(crate) fn shares_engine(&self, engines: &[EngineId]) -> bool {
        self.engines.iter().any(|engine| engines.contains(engine))
    }

    /// Whether it competes with `other` for engines or for a load.
    fn competes_with(&self, other: &Self) -> bool {
        self.request.target == other.request.target || self.shares_engine(&other.engines)
    }

    /// Whether `other` competes with it and goes before it, as far as rank and arrival decide.
    pub(crate) fn goes_after(&self, other: &Self) -> bool {
        let order = |waiting: &Self| (waiting.request.rank, waiting.request.arrival);
        order(other) < order(self) && self.competes_with(other)
    }
}
