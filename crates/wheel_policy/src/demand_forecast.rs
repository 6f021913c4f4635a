//! Forecasts the requests for each model.

use std::collections::BTreeMap;
use std::time::Duration;

use jiff::Timestamp;
use jiff::tz::{TimeZone, TimeZoneDatabase};
use wheel_manifest::DeploymentManifest;
use wheel_types::{ModelName, ServiceName};

use crate::weekly_profile::WeeklyProfile;

/// Step in which the expected requests of a span are summed.
const STEP: Duration = Duration::from_secs(300);
/// Weight of a service's profile as the prior of a model's own profile, in hours.
const SERVICE_HOURS: f64 = 168.0;
/// Time constant of the comparison of today's level with the profile, in hours.
const LEVEL_HOURS: f64 = 2.0;
/// Arrivals added to both sides of the comparison, so that few arrivals change little.
const LEVEL_PRIOR: f64 = 3.0;
/// Step of the comparison and the longest gap that it covers, in seconds.
const LEVEL_STEP_S: i64 = 900;
const LEVEL_GAP_S: i64 = 24 * 3_600;
/// Bounds of today's level relative to the profile.
const MIN_LEVEL: f64 = 0.2;
const MAX_LEVEL: f64 = 5.0;

/// Weekly forecasts on each service's local clock.
///
/// Every service has a profile in its own IANA time zone, so that its peaks follow clock changes;
/// every model has one too, drawn towards its share of the service's profile while few hours were
/// observed. Today's level, actual over expected arrivals of the last hours, scales both, so that a
/// holiday or a change of habits takes effect within hours. Without any history the rate is zero
/// and placement falls back to recent use. The tables hold the manifest's services and models.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    services: BTreeMap<ServiceName, ServiceDemand>,
    models: BTreeMap<ModelName, ModelHistory>,
    unknown_zones: Vec<String>,
}

/// One service's profile and today's level.
#[derive(Clone, Debug)]
struct ServiceDemand {
    profile: WeeklyProfile,
    counted_until: Option<Timestamp>,
    actual: f64,
    expected: f64,
}

/// One model's profile and its service.
#[derive(Clone, Debug)]
struct ModelHistory {
    service: ServiceName,
    profile: WeeklyProfile,
}

impl DemandForecast {
    /// Creates a forecast for the services and models of `manifest`.
    pub fn open(manifest: &DeploymentManifest) -> Self {
        let mut forecast = Self::default();
        forecast.set_manifest(manifest);
        forecast
    }

    /// Replaces the manifest; services and models that it still names keep their history.
    pub fn set_manifest(&mut self, manifest: &DeploymentManifest) {
        let old = std::mem::take(self);
        for service in &manifest.services {
            let zone = self.find_zone(&service.time_zone);
            let known = old.services.get(&service.name).cloned();
            let demand = known.unwrap_or_else(|| ServiceDemand::new(zone.clone()));
            self.services.insert(service.name.clone(), demand);
            for model in &service.models {
                let known = old.models.get(model).cloned();
                let history = known.unwrap_or_else(|| ModelHistory {
                    service: service.name.clone(),
                    profile: WeeklyProfile::new(zone.clone()),
                });
                self.models.entry(model.clone()).or_insert(history);
            }
        }
    }

    /// Time zones of the manifest that the bundled database doesn't know; their services use UTC.
    pub fn unknown_zones(&self) -> &[String] {
        &self.unknown_zones
    }

    /// Counts requests for a model of a service.
    pub fn record(&mut self, at: Timestamp, service: &ServiceName, model: &ModelName, count: u32) {
        if let Some(demand) = self.services.get_mut(service) {
            demand.record(at, count);
        }
        if let Some(history) = self.models.get_mut(model) {
            history.profile.record(at, count);
        }
    }

    /// Counts the time up to `at` as observed, with or without arrivals; call it at least every
    /// hour.
    pub fn advance(&mut self, at: Timestamp) {
        self.services.values_mut().for_each(|demand| demand.advance(at));
        self.models.values_mut().for_each(|history| history.profile.advance(at));
    }

    /// Expected requests per hour for `model` at `at`.
    pub fn rate(&self, at: Timestamp, model: &ModelName) -> f64 {
        let Some(history) = self.models.get(model) else { return 0.0 };
        let Some(service) = self.services.get(&history.service) else { return 0.0 };
        let total = service.profile.arrivals();
        let share = if total > 0.0 { (history.profile.arrivals() / total).min(1.0) } else { 0.0 };
        let by_service = share * service.profile.rate(at);
        let hours = history.profile.hours();
        let own = history.profile.rate(at);
        let blended = (own * hours + by_service * SERVICE_HOURS) / (hours + SERVICE_HOURS);
        blended * service.level()
    }

    /// Expected number of requests for `model` within `span` after `at`.
    pub fn expected(&self, at: Timestamp, model: &ModelName, span: Duration) -> f64 {
        let steps = (span.as_secs_f64() / STEP.as_secs_f64()).ceil().max(1.0) as u32;
        let step = span / steps;
        let rates = (0..steps).map(|index| {
            let middle = step * index + step / 2;
            self.rate(at.checked_add(middle).unwrap_or(at), model)
        });
        rates.sum::<f64>() * step.as_secs_f64() / 3_600.0
    }

    fn find_zone(&mut self, name: &str) -> TimeZone {
        TimeZoneDatabase::bundled().get(name).unwrap_or_else(|_| {
            self.unknown_zones.push(name.to_owned());
            TimeZone::UTC
        })
    }
}

impl ServiceDemand {
    fn new(zone: TimeZone) -> Self {
        Self { profile: WeeklyProfile::new(zone), counted_until: None, actual: 0.0, expected: 0.0 }
    }

    fn record(&mut self, at: Timestamp, count: u32) {
        self.advance(at);
        self.actual += f64::from(count);
        self.profile.record(at, count);
    }

    fn advance(&mut self, at: Timestamp) {
        self.profile.advance(at);
        let mut counted_until =
            self.counted_until.unwrap_or(at).as_second().max(at.as_second() - LEVEL_GAP_S);
        while counted_until < at.as_second() {
            let next = (counted_until + LEVEL_STEP_S).min(at.as_second());
            self.add_expected(counted_until, next);
            counted_until = next;
        }
        self.counted_until = Some(self.counted_until.map_or(at, |before| before.max(at)));
    }

    fn add_expected(&mut self, from_s: i64, to_s: i64) {
        let Ok(middle) = Timestamp::from_second(from_s.midpoint(to_s)) else { return };
        let hours = (to_s - from_s) as f64 / 3_600.0;
        let keep = (-hours / LEVEL_HOURS).exp();
        let expected = self.profile.rate(middle) * LEVEL_HOURS;
        self.actual *= keep;
        self.expected = self.expected * keep + expected * (1.0 - keep);
    }

    /// Today's level relative to the profile.
    fn level(&self) -> f64 {
        let level = (self.actual + LEVEL_PRIOR) / (self.expected + LEVEL_PRIOR);
        level.clamp(MIN_LEVEL, MAX_LEVEL)
    }
}
