//! What the weekly forecast expects of each model.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jiff::Timestamp;
use wheel_manifest::ActiveManifest;
use wheel_policy::DemandForecast;
use wheel_types::{ManifestRevision, ModelName, RequestRank, ServiceName};

/// Time for which expectations are kept before they are worked out anew.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Feeds [`DemandForecast`] with arrivals and keeps its expectations for a while.
///
/// It lives in the lease holder's memory, so that a new holder begins without a history. Bounded by
/// the models and services of the text.
#[derive(Debug, Default)]
pub(crate) struct ForecastKeeper {
    forecast: DemandForecast,
    histories: HashMap<ModelName, ModelOrigin>,
    revision: Option<ManifestRevision>,
    expected: Vec<ModelForecast>,
    refreshed: Option<Instant>,
}

/// What the forecast expects of one model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelForecast {
    pub(crate) model: ModelName,
    /// The rank that its last requests had.
    pub(crate) rank: RequestRank,
    /// Requests an hour from now on.
    pub(crate) hourly_rate: f64,
    /// Requests within the time of a load from the store.
    pub(crate) expected_soon: f64,
}

/// Where a model's requests come from.
#[derive(Clone, Debug)]
struct ModelOrigin {
    service: ServiceName,
    load: Duration,
    /// None until it is asked for.
    rank: Option<RequestRank>,
}

impl ForecastKeeper {
    /// Takes over a text; what is known of services and models that stay is kept.
    pub(crate) fn follow_text(&mut self, text: &ActiveManifest) {
        if self.revision == Some(text.revision) {
            return;
        }
        self.revision = Some(text.revision);
        self.refreshed = None;
        self.forecast.set_text(&text.manifest);
        let old = std::mem::take(&mut self.histories);
        for service in &text.manifest.services {
            for model in &service.models {
                let load_ms = text.index.model(model.as_str()).map_or(0, |spec| spec.load_ms);
                let origin = ModelOrigin {
                    service: service.name.clone(),
                    load: Duration::from_millis(load_ms),
                    rank: old.get(model).and_then(|origin| origin.rank),
                };
                self.histories.entry(model.clone()).or_insert(origin);
            }
        }
    }

    /// Counts arrivals; those of a model without a service are passed over.
    pub(crate) fn record(
        &mut self,
        at: Timestamp,
        model: &ModelName,
        rank: RequestRank,
        count: u32,
    ) {
        if let Some(origin) = self.histories.get_mut(model) {
            origin.rank = Some(rank);
            self.forecast.record(at, &origin.service, model, count);
        }
    }

    /// What is expected of the models that were ever asked for.
    pub(crate) fn expectations(&mut self, at: Timestamp) -> &[ModelForecast] {
        if self.refreshed.is_none_or(|last| last.elapsed() >= REFRESH_INTERVAL) {
            self.refreshed = Some(Instant::now());
            self.refresh(at);
        }
        &self.expected
    }

    fn refresh(&mut self, at: Timestamp) {
        self.forecast.advance(at);
        let known = self.histories.iter();
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
