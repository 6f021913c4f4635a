//! Counts a request at its upstream while it is open.

use std::sync::Arc;

use wheel_route::EngineId;

use crate::FleetState;

/// Counts one request at one upstream until it is dropped.
pub struct RequestGuard {
    state: Arc<FleetState>,
    engine: EngineId,
    tokens: u64,
}

impl RequestGuard {
    /// Starts counting a request with the given number of tokens.
    pub fn begin(state: Arc<FleetState>, engine: EngineId, tokens: u64) -> Self {
        state.count_request(&engine, 1, tokens as i64);
        Self { state, engine, tokens }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.count_request(&self.engine, -1, -(self.tokens as i64));
    }
}
