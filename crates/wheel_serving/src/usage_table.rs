//! Which models of an engine are in use.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use wheel_types::{AdapterName, ModelName, ModelUsage};

/// Counts the requests of each model and adapter on one engine.
///
/// Bounded by the models and adapters of the manifest; an idle entry is dropped once the engine no
/// longer holds its model.
#[derive(Debug, Default)]
pub struct UsageTable {
    counts: Mutex<HashMap<UsageKey, UsageCount>>,
}

type UsageKey = (ModelName, Option<AdapterName>);

#[derive(Clone, Copy, Debug)]
struct UsageCount {
    in_use: u32,
    last_end: Instant,
}

impl UsageTable {
    /// Counts a request until the guard is dropped.
    pub fn begin(self: &Arc<Self>, model: ModelName, adapter: Option<AdapterName>) -> UsageGuard {
        let key = (model, adapter);
        let fresh = UsageCount { in_use: 0, last_end: Instant::now() };
        self.counts.lock().entry(key.clone()).or_insert(fresh).in_use += 1;
        UsageGuard { table: Arc::clone(self), key }
    }

    /// The usage of each model and adapter.
    pub fn usage(&self) -> Vec<ModelUsage> {
        let counts = self.counts.lock();
        let mut usage: Vec<ModelUsage> = counts
            .iter()
            .map(|((model, adapter), count)| ModelUsage {
                model: model.clone(),
                adapter: adapter.clone(),
                in_use: count.in_use,
                idle_ms: count.last_end.elapsed().as_millis() as u64,
            })
            .collect();
        usage.sort_by(|left, right| {
            (&left.model, &left.adapter).cmp(&(&right.model, &right.adapter))
        });
        usage
    }

    /// Whether a request of the model has ended since `since`, whatever its adapter.
    pub fn has_ended_since(&self, model: &ModelName, since: Instant) -> bool {
        let counts = self.counts.lock();
        let mut of_model = counts.iter().filter(|((used, _), _)| used == model);
        of_model.any(|(_, count)| count.last_end >= since)
    }

    /// Drops idle entries of models that the engine doesn't hold.
    pub fn retain_models(&self, held: impl Fn(&ModelName) -> bool) {
        self.counts.lock().retain(|(model, _), count| count.in_use > 0 || held(model));
    }

    fn end(&self, key: &UsageKey) {
        if let Some(count) = self.counts.lock().get_mut(key) {
            count.in_use = count.in_use.saturating_sub(1);
            count.last_end = Instant::now();
        }
    }
}

/// Counts one request as in use.
#[derive(Debug)]
pub struct UsageGuard {
    table: Arc<UsageTable>,
    key: UsageKey,
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        self.table.end(&self.key);
    }
}
