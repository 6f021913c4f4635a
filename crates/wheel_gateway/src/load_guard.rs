//! Counts a request at its upstream while it is open.

use std::sync::Arc;

use wheel_route::EngineId;

use crate::FleetState;

/// Counts one request at one upstream until it is dropped.
pub struct LoadGuard {
    state: Arc<FleetState>,
    engine: EngineId,
    tokens: u64,
}

impl LoadGuard {
    /// Starts counting a request with the given number of tokens.
    pub fn begin(state: Arc<FleetState>, engine: EngineId, tokens: u64) -> Self {
        state.count_load(&engine, 1, tokens as i64);
        Self { state, engine, tokens }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.state.count_load(&self.engine, -1, -(self.tokens as i64));
    }
}
