//! The replicas that drain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use wheel_types::{ModelName, UpstreamName};

use crate::DrainNotice;

/// Time after which a notice that wasn't repeated expires: the lease holder that sent it is gone,
/// and the replica serves again.
const NOTICE_LIFE: Duration = Duration::from_secs(3);

/// Replicas that get no new requests, from the notices that the lease holder repeats.
///
/// Bounded by the replicas of the manifest's upstreams.
#[derive(Debug, Default)]
pub struct DrainingReplicas {
    replicas: Mutex<HashMap<(UpstreamName, ModelName), Instant>>,
}

impl DrainingReplicas {
    /// Applies a notice. True if it changes anything.
    pub fn apply(&self, notice: &DrainNotice) -> bool {
        let replica = (notice.upstream.clone(), notice.model.clone());
        let mut replicas = self.replicas.lock();
        match notice.draining {
            true => replicas.insert(replica, Instant::now()).is_none(),
            false => replicas.remove(&replica).is_some(),
        }
    }

    /// Whether a replica drains.
    pub fn contains(&self, upstream: &UpstreamName, model: &ModelName) -> bool {
        let replica = (upstream.clone(), model.clone());
        self.replicas.lock().get(&replica).is_some_and(|at| at.elapsed() < NOTICE_LIFE)
    }

    /// The models that drain at an upstream, sorted by name.
    pub fn at(&self, upstream: &UpstreamName) -> Vec<ModelName> {
        let replicas = self.replicas.lock();
        let live = replicas.iter().filter(|(_, at)| at.elapsed() < NOTICE_LIFE);
        let at_upstream = live.filter(|((name, _), _)| name == upstream);
        let mut models: Vec<ModelName> = at_upstream.map(|((_, model), _)| model.clone()).collect();
        models.sort();
        models
    }

    /// Drops the entries of an upstream's replicas that are gone; a later replica isn't draining.
    pub fn retain_models(&self, upstream: &UpstreamName, held: impl Fn(&ModelName) -> bool) {
        self.replicas.lock().retain(|(name, model), _| name != upstream || held(model));
    }

    /// Drops entries whose notice wasn't repeated; returns their models.
    pub fn expire(&self) -> Vec<ModelName> {
        let mut expired = Vec::new();
        self.replicas.lock().retain(|(_, model), at| {
            let live = at.elapsed() < NOTICE_LIFE;
            if !live {
                expired.push(model.clone());
            }
            live
        });
        expired
    }
}
