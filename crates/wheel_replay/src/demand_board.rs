//! What a replay knows of each model's demand.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use jiff::Timestamp;
use wheel_manifest::ModelSpec;
use wheel_policy::{DemandForecast, ModelDemand};
use wheel_types::{AdapterName, ModelName};

use crate::SitePlan;

/// How long a forecast is used before it is made again, in seconds.
const FORECAST_AGE_S: i64 = 60;
/// Time for which arrivals are forecast: what an engine is opened for.
const FORECAST_SPAN: Duration = Duration::from_secs(600);
/// Adapters that fit beside the models of one engine.
const ENGINE_ADAPTERS: usize = 16;
/// Requests an hour below which a model isn't told to the planner.
const LEAST_RATE: f64 = 0.02;
/// What a model without any expected request is told to have, so that it counts as known.
const NO_RATE: f64 = 1e-6;
/// Waiting requests of a model that ask for a round of planning at once.
const CROWD: u32 = 8;

/// Requests that wait and run, forecasts and homes, by model.
#[derive(Clone, Debug)]
pub(crate) struct DemandBoard {
    models: BTreeMap<ModelName, ModelEntry>,
    adapters: HashMap<usize, Vec<AdapterName>>,
}

/// One model.
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

impl DemandBoard {
    /// A board of a site's models.
    pub(crate) fn new(site: &SitePlan) -> Self {
        let centres = site.text.centres.len();
        let entry = |(index, spec): (usize, &ModelSpec)| {
            let service = site.text.services.iter().find(|one| one.models.contains(&spec.name))?;
            let rank = site.text.ranks.iter().find(|rank| rank.name == service.rank);
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
        let models = site.text.models.iter().enumerate().filter_map(entry);
        Self { models: models.collect(), adapters: HashMap::new() }
    }

    /// All models.
    pub(crate) fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.models.keys()
    }

    /// A model's entry in the text.
    pub(crate) fn spec(&self, model: &ModelName) -> Option<&ModelSpec> {
        self.models.get(model).map(|entry| &entry.spec)
    }

    /// The data centre that loads a model while all is well.
    pub(crate) fn home(&self, model: &ModelName) -> usize {
        self.models.get(model).map_or(0, |entry| entry.home)
    }

    /// Whether a model's requests may run twice.
    pub(crate) fn is_idempotent(&self, model: &ModelName) -> bool {
        self.models.get(model).is_some_and(|entry| entry.idempotent)
    }

    /// Counts requests that wait at engines.
    pub(crate) fn queued(&mut self, model: &ModelName, change: i32) {
        if let Some(entry) = self.models.get_mut(model) {
            entry.queued = entry.queued.saturating_add_signed(change);
        }
    }

    /// Counts requests that run.
    pub(crate) fn running(&mut self, model: &ModelName, change: i32) {
        if let Some(entry) = self.models.get_mut(model) {
            entry.running = entry.running.saturating_add_signed(change);
        }
    }

    /// Whether many requests wait for a model at engines.
    pub(crate) fn is_crowded(&self, model: &ModelName) -> bool {
        self.models.get(model).is_some_and(|entry| entry.queued >= CROWD)
    }

    /// Uses an adapter of an engine; false if it had to be loaded for that.
    pub(crate) fn touch_adapter(&mut self, engine: usize, adapter: &AdapterName) -> bool {
        let loaded = self.adapters.entry(engine).or_default();
        let place = loaded.iter().position(|other| other == adapter);
        if let Some(place) = place {
            loaded.remove(place);
        }
        loaded.push(adapter.clone());
        if loaded.len() > ENGINE_ADAPTERS {
            loaded.remove(0);
        }
        place.is_some()
    }

    /// Forgets the adapters of an engine that is gone.
    pub(crate) fn forget_adapters(&mut self, engine: usize) {
        self.adapters.remove(&engine);
    }

    /// The demand that a data centre's planner sees: forecasts of the models that it is home to,
    /// what waits at engines, and `cold`, what waits for loads.
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
            let waits = cold.remove(model);
            let known = entry.hourly_rate > LEAST_RATE
                || entry.queued + entry.running > 0
                || placed.contains(model);
            if waits.is_none() && !known {
                continue;
            }
            let mut demand = waits
                .unwrap_or_else(|| ModelDemand { model: model.clone(), ..ModelDemand::default() });
            demand.queued = entry.queued;
            demand.running = entry.running;
            demand.worth = entry.worth;
            demand.hourly_rate = entry.hourly_rate.max(NO_RATE);
            demand.expected_soon = if entry.home == centre { entry.expected } else { 0.0 };
            views.push(demand);
        }
        views
    }
}

impl ModelEntry {
    fn refresh(&mut self, wall: Timestamp, model: &ModelName, forecast: &DemandForecast) {
        if wall.as_second() - FORECAST_AGE_S < self.forecast_at {
            return;
        }
        self.forecast_at = wall.as_second();
        self.hourly_rate = forecast.rate(wall, model);
        self.expected = forecast.expected(wall, model, FORECAST_SPAN);
    }
}
