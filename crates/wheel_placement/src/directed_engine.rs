//! One engine that is directed from here.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::time::Instant;
use wheel_lease::HeldAccount;
use wheel_policy::PlanEngine;
use wheel_route::{EngineCard, LoadCount, UpstreamState};
use wheel_upstream::DirectClient;

use crate::FleetDialect;

/// Time that a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a report that didn't come, and between reports while an order takes longer than expected.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Time without reports after which an engine counts as gone for placement.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// One engine with its account.
pub(crate) struct DirectedEngine {
    pub(crate) card: EngineCard,
    pub(crate) account: Mutex<HeldAccount>,
    pub(crate) client: DirectClient,
    pub(crate) reads: Mutex<ReadState>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadState {
    /// No report is asked for before.
    pub(crate) next: Instant,
    pub(crate) failing_since: Option<Instant>,
}

/// Asks an engine for its report and takes it into its account.
pub(crate) async fn read_engine(engine: &DirectedEngine, dialect: &dyn FleetDialect) {
    let asked = engine.client.fetch(dialect.report(&engine.card.id), REPORT_TIMEOUT).await;
    let read = match asked {
        Ok((status, body)) if status.is_success() => dialect.read_report(&body),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(failure) => Err(failure.to_string()),
    };
    let mut reads = engine.reads.lock();
    reads.next = Instant::now() + REPORT_PAUSE;
    match read {
        Ok(reading) if engine.card.id.born == 0 || reading.born == engine.card.id.born => {
            reads.failing_since = None;
            drop(reads);
            let names = |names: &[Arc<str>]| names.join(",");
            let models: Vec<Arc<str>> =
                reading.models.iter().map(|entry| Arc::clone(&entry.model)).collect();
            info!("engine_read", kv: {
                upstream = engine.card.id.name.to_string(), accepted = reading.accepted,
                busy = reading.is_busy, models = names(&models),
                in_memory = names(&reading.in_memory), on_disk = names(&reading.on_disk)
            });
            engine.account.lock().observe(reading);
        }
        Ok(reading) => info!("report_of_another_start", kv: {
            upstream = engine.card.id.name.to_string(), born = reading.born
        }),
        Err(reason) => {
            if reads.failing_since.is_none() {
                reads.failing_since = Some(Instant::now());
                info!("report_lost", kv: {
                    upstream = engine.card.id.name.to_string(), reason:? = reason
                });
            }
        }
    }
}

/// The engine as the planner sees it.
pub(crate) fn plan_engine(engine: &DirectedEngine, loads: &[LoadCount]) -> PlanEngine {
    let account = engine.account.lock();
    let failing = engine.reads.lock().failing_since;
    let is_silent = failing.is_some_and(|since| since.elapsed() > SILENCE_LIMIT);
    let reading = account.reading();
    let load = loads.iter().find(|load| load.engine == engine.card.id);
    let is_leaving = reading.is_some_and(|reading| reading.is_leaving);
    PlanEngine {
        is_read: reading.is_some(),
        id: engine.card.id.clone(),
        centre: Arc::clone(&engine.card.centre),
        is_free: account.is_free(),
        takes_work: engine.card.state == UpstreamState::Ready && !is_silent && !is_leaving,
        possible: account.possible_models(),
        usable: account.usable().into_iter().map(|entry| entry.model).collect(),
        fresh: account.fresh_models().cloned().collect(),
        adapters: account.possible_adapters(),
        in_memory: reading.map(|reading| reading.in_memory.clone()).unwrap_or_default(),
        on_disk: reading.map(|reading| reading.on_disk.clone()).unwrap_or_default(),
        active: load.map_or(0, |load| load.active),
    }
}
