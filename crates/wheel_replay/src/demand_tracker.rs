//! Demand of each model in a replay.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use jiff::Timestamp;
use wheel_manifest::ModelSpec;
use wheel_policy::{DemandForecast, ModelDemand};
use wheel_types::{AdapterName, ModelName};

use crate::SitePlan;

/// Age at which a model's forecast is computed again, in seconds.
const MAX_FORECAST_AGE_S: i64 = 60;
/// Time ahead for which arrivals are forecast; it is the time for which an engine is opened.
const FORECAST_HORIZON: Duration = Duration::from_secs(600);
/// Adapters that fit beside the models of one engine.
const ENGINE_ADAPTERS: usize = 16;
/// Requests an hour up to which the planner isn't shown a model without open requests or replicas.
const MIN_HOURLY_RATE: f64 = 0.02;
/// Least hourly rate that the planner is shown, so that a model without expected requests counts
/// as known.
const NEGLIGIBLE_RATE: f64 = 1e-6;
/// Queued requests of a model from which planning is brought forward.
const CROWDED_REQUESTS: u32 = 8;

/// Queued and running requests, forecasts and homes by model, and loaded adapters by engine.
#[derive(Clone, Debug)]
pub(crate) struct DemandTracker {
    models: BTreeMap<ModelName, ModelEntry>,
    adapters: HashMap<usize, Vec<AdapterName>>,
}

/// Demand of one model.
#[derive(Clone, Debug)]
struct ModelEntry {
    spec: ModelSpec,
    worth: f64,
    idempotent: bool,
    home: usize,
    queued: u32,
    running: u32,
    forecast_at: i64,
    hourly_rate: f64,
    expected: f64,
}

impl DemandTracker {
    /// Creates a tracker of a site's models, without any demand.
    pub(crate) fn new(site: &SitePlan) -> Self {
        let centres = site.manifest.centres.len();
        let entry = |(index, spec): (usize, &ModelSpec)| {
            let service =
                site.manifest.services.iter().find(|one| one.models.contains(&spec.name))?;
            let rank = site.manifest.ranks.iter().find(|rank| rank.name == service.rank);
            let entry = ModelEntry {
                spec: spec.clone(),
                worth: rank.map_or(1.0, |rank| rank.worth),
                idempotent: service.idempotent,
                home: index % centres,
                queued: 0,
                running: 0,
                forecast_at: i64::MIN,
                hourly_rate: 0.0,
                expected: 0.0,
            };
            Some((spec.name.clone(), entry))
        };
        let models = site.manifest.models.iter().enumerate().filter_map(entry);
        Self { models: models.collect(), adapters: HashMap::new() }
    }

    /// The names of all models.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    /// A model's entry in the manifest.
    pub(crate) fn spec(&self, model: &ModelName) -> Option<&ModelSpec> {
        self.models.get(model).map(|entry| &entry.spec)
    }

    /// Requests for a model that the forecast expects within its horizon.
    pub(crate) fn expected(&self, model: &ModelName) -> f64 {
        self.models.get(model).map_or(0.0, |entry| entry.expected)
    }

    /// Index of the data centre that loads a model unless it can't be reached.
    pub(crate) fn home(&self, model: &ModelName) -> usize {
        self.models.get(model).map_or(0, |entry| entry.home)
    }

    /// Whether a model's requests may run more than once.
    pub(crate) fn is_idempotent(&self, model: &ModelName) -> bool {
        self.models.get(model).is_some_and(|entry| entry.idempotent)
    }

    /// Changes the number of requests queued at engines by `change`.
    pub(crate) fn adjust_queued(&mut self, model: &ModelName, change: i32) {
        if let Some(entry) = self.models.get_mut(model) {
            entry.queued = entry.queued.saturating_add_signed(change);
        }
    }

    /// Changes the number of running requests by `change`.
    pub(crate) fn adjust_running(&mut self, model: &ModelName, change: i32) {
        if let Some(entry) = self.models.get_mut(model) {
            entry.running = entry.running.saturating_add_signed(change);
        }
    }

    /// Whether many requests for a model are queued at engines.
    pub(crate) fn is_crowded(&self, model: &ModelName) -> bool {
        self.models.get(model).is_some_and(|entry| entry.queued >= CROWDED_REQUESTS)
    }

    /// Marks an adapter of an engine as the last used one; returns false if it had to be loaded.
    pub(crate) fn touch_adapter(&mut self, engine: usize, adapter: &AdapterName) -> bool {
        let loaded = self.adapters.entry(engine).or_default();
        let position = loaded.iter().position(|other| other == adapter);
        if let Some(position) = position {
            loaded.remove(position);
        }
        loaded.push(adapter.clone());
        if loaded.len() > ENGINE_ADAPTERS {
            loaded.remove(0);
        }
        position.is_some()
    }

    /// Removes the adapters of a lost engine.
    pub(crate) fn clear_adapters(&mut self, engine: usize) {
        self.adapters.remove(&engine);
    }

    /// The demand for a data centre's planner: forecasts of the models whose home it is, requests
    /// queued at engines, and `cold`, the requests that wait for loads.
    pub(crate) fn view(
        &mut self,
        centre: usize,
        wall: Timestamp,
        forecast: &DemandForecast,
        cold: Vec<ModelDemand>,
        placed: &HashSet<ModelName>,
    ) -> Vec<ModelDemand> {
        let mut cold: BTreeMap<ModelName, ModelDemand> =
            cold.into_iter().map(|demand| (demand.model.clone(), demand)).collect();
        let mut views = Vec::new();
        for (model, entry) in &mut self.models {
            entry.refresh(wall, model, forecast);
            let waiting = cold.remove(model);
            let is_known = entry.hourly_rate > MIN_HOURLY_RATE
                || entry.queued + entry.running > 0
                || placed.contains(model);
            if waiting.is_none() && !is_known {
                continue;
            }
            let mut demand = waiting
                .unwrap_or_else(|| ModelDemand { model: model.clone(), ..ModelDemand::default() });
            demand.queued = entry.queued;
            demand.running = entry.running;
            demand.worth = entry.worth;
            demand.hourly_rate = entry.hourly_rate.max(NEGLIGIBLE_RATE);
            demand.expected_soon = if entry.home == centre { entry.expected } else { 0.0 };
            views.push(demand);
        }
        views
    }
}

impl ModelEntry {
    fn refresh(&mut self, wall: Timestamp, model: &ModelName, forecast: &DemandForecast) {
        if wall.as_second() - MAX_FORECAST_AGE_S < self.forecast_at {
            return;
        }
        self.forecast_at = wall.as_second();
        self.hourly_rate = forecast.rate(wall, model);
        self.expected = forecast.expected(wall, model, FORECAST_HORIZON);
    }
}
