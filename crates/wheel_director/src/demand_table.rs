//! Demand of a data centre, as reported by its instances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jiff::Timestamp;
use parking_lot::Mutex;
use tokio::sync::Notify;
use wheel_manifest::ActiveManifest;
use wheel_policy::{AdapterDemand, DemandView, ModelDemand, RankDemand};
use wheel_types::{
    AdapterName, DemandReport, EngineReport, InstanceName, ModelName, MonotonicTime, RequestRank,
};

use crate::forecast_cache::ForecastCache;

/// Time after which an instance that sends no report counts as having nothing waiting.
const REPORT_LIFE: Duration = Duration::from_secs(3);
/// Time over which arrivals are averaged.
const RATE_SPAN: Duration = Duration::from_secs(900);
/// Rates below this are dropped, in arrivals per hour.
const MIN_HOURLY_RATE: f64 = 0.05;
/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Collects demand reports and builds the planner's view from them.
///
/// Bounded by the instances of the data centre and the models of the manifest, as each report is.
#[derive(Debug, Default)]
pub struct DemandTable {
    state: Mutex<TableState>,
    urgent: Notify,
}

#[derive(Debug, Default)]
struct TableState {
    reports: HashMap<InstanceName, StoredReport>,
    rates: HashMap<ModelName, ArrivalRate>,
    forecast: ForecastCache,
}

#[derive(Debug)]
struct StoredReport {
    report: DemandReport,
    received: Instant,
}

/// Arrivals of one model, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
struct ArrivalRate {
    hourly: f64,
    updated: Instant,
    rank: RequestRank,
}

impl DemandTable {
    /// Applies a manifest to the forecast.
    pub fn apply_manifest(&self, manifest: &ActiveManifest) {
        self.state.lock().forecast.apply_manifest(manifest);
    }

    /// Records an instance's report that arrived at `at`.
    pub fn record_report(&self, at: Timestamp, from: InstanceName, report: DemandReport) {
        let mut state = self.state.lock();
        let received = Instant::now();
        for entry in report.entries.iter().filter(|entry| entry.arrivals > 0) {
            let rate = state.rates.entry(entry.model.clone()).or_insert(ArrivalRate {
                hourly: 0.0,
                updated: received,
                rank: entry.rank,
            });
            rate.decay(received);
            rate.hourly += f64::from(entry.arrivals) * SECONDS_PER_HOUR / RATE_SPAN.as_secs_f64();
            rate.rank = entry.rank;
            state.forecast.record(at, &entry.model, entry.rank, entry.arrivals);
        }
        let waits = report.entries.iter().any(|entry| entry.waiting > 0);
        state.reports.insert(from, StoredReport { report, received });
        drop(state);
        if waits {
            self.urgent.notify_one();
        }
    }

    /// Completes when a report shows waiting requests.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// The planner's view at `now`, which is `at` in calendar time. `local` are the engine reports
    /// of this data centre and `remote` those of all others, for queues and replicas.
    pub fn view<'a>(
        &self,
        now: MonotonicTime,
        at: Timestamp,
        manifest: &ActiveManifest,
        local: impl Iterator<Item = &'a EngineReport>,
        remote: impl Iterator<Item = &'a EngineReport>,
    ) -> DemandView {
        let mut state = self.state.lock();
        state.forget_old();
        let mut models: HashMap<ModelName, ModelDemand> = HashMap::new();
        for stored in state.reports.values() {
            for entry in &stored.report.entries {
                let age = stored.received.elapsed();
                let due = Duration::from_millis(entry.due_in_ms).saturating_sub(age);
                let demand = model_demand(&mut models, &entry.model);
                if let (Some(adapter), true) = (&entry.adapter, entry.waiting > 0) {
                    add_adapter(demand, adapter, entry.waiting);
                }
                if entry.waiting > 0 {
                    add_waiting(demand, entry.rank, entry.waiting, now, now + due);
                }
            }
        }
        for (model, rate) in &state.rates {
            let demand = model_demand(&mut models, model);
            demand.hourly_rate = rate.hourly;
            demand.worth = worth(manifest, rate.rank);
        }
        for forecast in state.forecast.expectations(at) {
            if forecast.hourly_rate >= MIN_HOURLY_RATE {
                let demand = model_demand(&mut models, &forecast.model);
                demand.hourly_rate = demand.hourly_rate.max(forecast.hourly_rate);
                demand.expected_soon = forecast.expected_soon;
                demand.worth = worth(manifest, forecast.rank);
            }
        }
        drop(state);
        local.for_each(|report| add_use(&mut models, report));
        remote.for_each(|report| add_remote(&mut models, report));
        let mut models: Vec<ModelDemand> = models.into_values().collect();
        models.sort_by(|left, right| left.model.cmp(&right.model));
        DemandView { models }
    }
}

impl TableState {
    fn forget_old(&mut self) {
        self.reports.retain(|_, stored| stored.received.elapsed() < REPORT_LIFE);
        let now = Instant::now();
        self.rates.values_mut().for_each(|rate| rate.decay(now));
        self.rates.retain(|_, rate| rate.hourly >= MIN_HOURLY_RATE);
    }
}

impl ArrivalRate {
    fn decay(&mut self, now: Instant) {
        let span = now.saturating_duration_since(self.updated);
        self.hourly *= (-span.as_secs_f64() / RATE_SPAN.as_secs_f64()).exp();
        self.updated = now;
    }
}

fn worth(manifest: &ActiveManifest, rank: RequestRank) -> f64 {
    manifest.manifest.ranks.get(rank.index()).map_or(1.0, |rank| rank.worth)
}

fn model_demand<'a>(
    models: &'a mut HashMap<ModelName, ModelDemand>,
    model: &ModelName,
) -> &'a mut ModelDemand {
    let fresh = || ModelDemand { model: model.clone(), ..ModelDemand::default() };
    models.entry(model.clone()).or_insert_with(fresh)
}

fn add_adapter(demand: &mut ModelDemand, adapter: &AdapterName, waiting: u32) {
    match demand.adapters.iter_mut().find(|entry| &entry.adapter == adapter) {
        Some(entry) => entry.waiting += waiting,
        None => demand.adapters.push(AdapterDemand { adapter: adapter.clone(), waiting }),
    }
}

fn add_waiting(
    demand: &mut ModelDemand,
    rank: RequestRank,
    count: u32,
    now: MonotonicTime,
    due: MonotonicTime,
) {
    match demand.waiting.iter_mut().find(|entry| entry.rank == rank) {
        Some(entry) => {
            entry.count += count;
            entry.earliest_deadline = entry.earliest_deadline.min(due);
        }
        None => demand.waiting.push(RankDemand {
            rank,
            count,
            oldest_arrival: now,
            earliest_deadline: due,
        }),
    }
}

fn add_use(models: &mut HashMap<ModelName, ModelDemand>, report: &EngineReport) {
    let loaded = report.loaded_models().count().max(1) as u32;
    for state in report.loaded_models() {
        let running: u32 = report
            .usage
            .iter()
            .filter(|usage| usage.model == state.model)
            .map(|usage| usage.in_use)
            .sum();
        let demand = model_demand(models, &state.model);
        demand.running += running;
        demand.queued += report.queued / loaded;
    }
}

fn add_remote(models: &mut HashMap<ModelName, ModelDemand>, report: &EngineReport) {
    let loaded = report.loaded_models().count().max(1) as u32;
    let queued = report.queued / loaded;
    for state in report.loaded_models().filter(|_| report.accepts_work()) {
        if queued > 0 || models.contains_key(&state.model) {
            let demand = model_demand(models, &state.model);
            demand.remote_replicas += 1;
            demand.remote_queued += queued;
        }
    }
}
