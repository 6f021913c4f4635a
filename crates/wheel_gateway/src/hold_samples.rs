//! How long answered requests were at their upstreams.

use std::time::Duration;

use parking_lot::Mutex;
use wheel_route::EngineId;

/// Maximum number of samples kept until they are taken.
const MAX_SAMPLES: usize = 64;

/// Times of answered requests at their upstreams, since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct HoldSamples(Mutex<Vec<(EngineId, Duration)>>);

impl HoldSamples {
    /// Records a sample, unless enough are kept.
    pub(crate) fn record(&self, engine: &EngineId, hold: Duration) {
        let mut samples = self.0.lock();
        if samples.len() < MAX_SAMPLES {
            samples.push((engine.clone(), hold));
        }
    }

    /// Takes the samples.
    pub(crate) fn take(&self) -> Vec<(EngineId, Duration)> {
        std::mem::take(&mut *self.0.lock())
    }
}
