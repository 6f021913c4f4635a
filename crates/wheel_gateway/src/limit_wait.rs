//! Counts a request while it waits for upstreams with limits.

use std::sync::Arc;

use wheel_route::EngineId;

use crate::FleetState;

/// Counts a request that waits until the limit of one of some upstreams lets it be sent there, until
/// it is dropped.
pub(crate) struct LimitWait {
    state: Arc<FleetState>,
    engines: Vec<EngineId>,
    rank: u8,
}

impl LimitWait {
    /// Starts counting.
    pub(crate) fn begin(state: &Arc<FleetState>, engines: Vec<EngineId>, rank: u8) -> Self {
        state.count_limit_waiting(&engines, rank, 1);
        Self { state: Arc::clone(state), engines, rank }
    }
}

impl Drop for LimitWait {
    fn drop(&mut self) {
        self.state.count_limit_waiting(&self.engines, self.rank, -1);
    }
}
