//! Cached demand forecast of each model.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jiff::Timestamp;
use wheel_manifest::ActiveManifest;
use wheel_policy::DemandForecast;
use wheel_types::{ManifestRevision, ModelName, RequestRank, ServiceName};

/// Time after which the cached forecasts are computed again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Feeds [`DemandForecast`] with arrivals and caches its results.
///
/// It is kept in the lease holder's memory only, so a new holder starts without a history. Bounded
/// by the models and services of the manifest.
#[derive(Debug, Default)]
pub(crate) struct ForecastCache {
    forecast: DemandForecast,
    origins: HashMap<ModelName, ModelOrigin>,
    revision: Option<ManifestRevision>,
    expected: Vec<ModelForecast>,
    refreshed: Option<Instant>,
}

/// The forecast for one model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelForecast {
    pub(crate) model: ModelName,
    /// The rank of its latest requests.
    pub(crate) rank: RequestRank,
    /// Requests per hour from now on.
    pub(crate) hourly_rate: f64,
    /// Expected requests within the time of a load from the store.
    pub(crate) expected_soon: f64,
}

/// Where a model's requests come from.
#[derive(Clone, Debug)]
struct ModelOrigin {
    service: ServiceName,
    load: Duration,
    /// `None` until the first request.
    rank: Option<RequestRank>,
}

impl ForecastCache {
    /// Applies a manifest; the history of models and services that stay is kept.
    pub(crate) fn apply_manifest(&mut self, manifest: &ActiveManifest) {
        if self.revision == Some(manifest.revision) {
            return;
        }
        self.revision = Some(manifest.revision);
        self.refreshed = None;
        self.forecast.set_manifest(&manifest.manifest);
        let old = std::mem::take(&mut self.origins);
        for service in &manifest.manifest.services {
            for model in &service.models {
                let load_ms = manifest.index.model(model.as_str()).map_or(0, |spec| spec.load_ms);
                let origin = ModelOrigin {
                    service: service.name.clone(),
                    load: Duration::from_millis(load_ms),
                    rank: old.get(model).and_then(|origin| origin.rank),
                };
                self.origins.entry(model.clone()).or_insert(origin);
            }
        }
    }

    /// Counts arrivals; those of a model without a service are ignored.
    pub(crate) fn record(
        &mut self,
        at: Timestamp,
        model: &ModelName,
        rank: RequestRank,
        count: u32,
    ) {
        if let Some(origin) = self.origins.get_mut(model) {
            origin.rank = Some(rank);
            self.forecast.record(at, &origin.service, model, count);
        }
    }

    /// The forecasts for all models that were ever requested.
    pub(crate) fn expectations(&mut self, at: Timestamp) -> &[ModelForecast] {
        if self.refreshed.is_none_or(|last| last.elapsed() >= REFRESH_INTERVAL) {
            self.refreshed = Some(Instant::now());
            self.refresh(at);
        }
        &self.expected
    }

    fn refresh(&mut self, at: Timestamp) {
        self.forecast.advance(at);
        let known = self.origins.iter();
        let known = known.filter_map(|(model, origin)| Some((model, origin.load, origin.rank?)));
        self.expected = known
            .map(|(model, load, rank)| ModelForecast {
                model: model.clone(),
                rank,
                hourly_rate: self.forecast.rate(at, model),
                expected_soon: self.forecast.expected(at, model, load),
            })
            .collect();
    }
}
