//! Counts a request while it waits for a load.

use std::sync::Arc;

use wheel_route::DemandKey;

use crate::FleetState;

/// Counts a request that waits for a load until it is dropped.
pub(crate) struct WaitGuard {
    state: Arc<FleetState>,
    key: DemandKey,
}

impl WaitGuard {
    /// Starts counting.
    pub(crate) fn begin(state: &Arc<FleetState>, key: DemandKey) -> Self {
        state.count_waiting(&key, 1);
        Self { state: Arc::clone(state), key }
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.state.count_waiting(&self.key, -1);
    }
}
