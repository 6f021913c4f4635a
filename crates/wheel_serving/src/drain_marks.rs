//! Which replicas drain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use wheel_types::{ModelName, UpstreamName};

use crate::DrainNotice;

/// Time after which a notice that wasn't repeated no longer counts: the lease holder that sent it
/// is gone, and the replica serves again.
const NOTICE_LIFE: Duration = Duration::from_secs(3);

/// Replicas that get no new requests, as the lease holder says and repeats.
///
/// Bounded by the replicas of the text's upstreams.
#[derive(Debug, Default)]
pub struct DrainMarks {
    marks: Mutex<HashMap<(UpstreamName, ModelName), Instant>>,
}

impl DrainMarks {
    /// Takes a notice over. True if it changes anything.
    pub fn note(&self, notice: &DrainNotice) -> bool {
        let replica = (notice.upstream.clone(), notice.model.clone());
        let mut marks = self.marks.lock();
        match notice.draining {
            true => marks.insert(replica, Instant::now()).is_none(),
            false => marks.remove(&replica).is_some(),
        }
    }

    /// Whether a replica drains.
    pub fn contains(&self, upstream: &UpstreamName, model: &ModelName) -> bool {
        let replica = (upstream.clone(), model.clone());
        self.marks.lock().get(&replica).is_some_and(|at| at.elapsed() < NOTICE_LIFE)
    }

    /// The models that drain at an upstream, by name.
    pub fn at(&self, upstream: &UpstreamName) -> Vec<ModelName> {
        let marks = self.marks.lock();
        let live = marks.iter().filter(|(_, at)| at.elapsed() < NOTICE_LIFE);
        let there = live.filter(|((name, _), _)| name == upstream);
        let mut models: Vec<ModelName> = there.map(|((_, model), _)| model.clone()).collect();
        models.sort();
        models
    }

    /// Drops the marks of an upstream's replicas that are gone; the next one there starts fresh.
    pub fn retain_models(&self, upstream: &UpstreamName, held: impl Fn(&ModelName) -> bool) {
        self.marks.lock().retain(|(name, model), _| name != upstream || held(model));
    }

    /// Drops marks that weren't repeated; returns their models.
    pub fn expire(&self) -> Vec<ModelName> {
        let mut expired = Vec::new();
        self.marks.lock().retain(|(_, model), at| {
            let live = at.elapsed() < NOTICE_LIFE;
            if !live {
                expired.push(model.clone());
            }
            live
        });
        expired
    }
}
