//! Counts a request at its upstream while it is open.

use std::sync::Arc;

use tokio::time::Instant;
use wheel_route::EngineId;

use crate::FleetState;
use crate::engine_measures::SendMeter;

/// Counts one request at one upstream until it is dropped.
pub struct RequestGuard {
    state: Arc<FleetState>,
    engine: EngineId,
    tokens: u64,
    /// Measures how fast the upstream answers; `None` if that isn't of interest.
    meter: Option<SendMeter>,
    began: Instant,
    is_measured: bool,
}

impl RequestGuard {
    /// Starts counting a request with the given number of tokens.
    pub fn begin(state: Arc<FleetState>, engine: EngineId, tokens: u64) -> Self {
        state.count_request(&engine, 1, tokens as i64);
        Self { state, engine, tokens, meter: None, began: Instant::now(), is_measured: false }
    }

    /// Measures the request until it is dropped.
    pub(crate) fn measure(&mut self, meter: SendMeter) {
        self.meter = Some(meter);
    }

    /// What measures the request.
    pub(crate) fn meter(&self) -> Option<&SendMeter> {
        self.meter.as_ref()
    }

    /// Has the time until the end of the request count as an answered request's.
    pub(crate) fn measured(mut self) -> Self {
        self.is_measured = true;
        self
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.is_measured {
            self.state.holds.record(&self.engine, self.began.elapsed());
        }
        self.state.count_request(&self.engine, -1, -(self.tokens as i64));
    }
}
