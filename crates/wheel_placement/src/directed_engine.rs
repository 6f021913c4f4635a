//! An engine to which this instance sends orders.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::time::Instant;
use wheel_lease::EngineInventory;
use wheel_policy::{PlanEngine, RestTable};
use wheel_route::{EngineId, EngineInfo, OpenRequestCount, UpstreamState};
use wheel_seams::boot_now;
use wheel_upstream::DirectClient;

use crate::FleetDialect;

/// Time limit for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two reads of an engine's report, for example after a lost report or while
/// an order takes longer than expected.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Time without reports after which placement treats an engine as unavailable.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// An engine with the state derived from its reports and from orders sent. Reads and orders in
/// progress share the state with the entry that replaces this one when the list describes the
/// engine differently.
#[derive(Clone)]
pub(crate) struct DirectedEngine {
    pub(crate) info: EngineInfo,
    pub(crate) inventory: Arc<Mutex<EngineInventory>>,
    pub(crate) client: DirectClient,
    pub(crate) reads: Arc<Mutex<ReadState>>,
}

/// When an engine's report may be read, and since when that fails.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadState {
    /// The earliest time of the next read.
    pub(crate) next: Instant,
    /// Whether a read is in progress.
    pub(crate) is_reading: bool,
    pub(crate) failing_since: Option<Instant>,
}

/// Reads an engine's report and records it in the engine's inventory. If the engine asks for rest
/// instead, records that.
pub(crate) async fn read_engine(
    engine: &DirectedEngine,
    dialect: &dyn FleetDialect,
    rests: &Mutex<RestTable>,
) {
    let asked = boot_now();
    let answer = engine.client.fetch(dialect.report(&engine.info.id), REPORT_TIMEOUT).await;
    let rest = answer.as_ref().ok().and_then(|answer| answer.rest);
    record_rest(rests, &engine.info.id, rest);
    let read = match answer {
        Ok(answer) if answer.status.is_success() => dialect.read_report(&answer.body),
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(failure) => Err(failure.to_string()),
    };
    let mut reads = engine.reads.lock();
    reads.is_reading = false;
    reads.next = Instant::now() + REPORT_PAUSE;
    match read {
        Ok(status)
            if engine.info.id.started_unix_ms == 0
                || status.started_unix_ms == engine.info.id.started_unix_ms =>
        {
            reads.failing_since = None;
            drop(reads);
            let names = |names: &[Arc<str>]| names.join(",");
            let models: Vec<Arc<str>> =
                status.models.iter().map(|entry| Arc::clone(&entry.model)).collect();
            info!("engine_read", kv: {
                upstream = engine.info.id.name.to_string(), accepted = status.accepted,
                busy = status.is_busy, models = names(&models),
                in_memory = names(&status.in_memory), on_disk = names(&status.on_disk)
            });
            engine.inventory.lock().observe(asked, status);
        }
        Ok(status) => info!("report_of_another_start", kv: {
            upstream = engine.info.id.name.to_string(), born = status.started_unix_ms
        }),
        Err(reason) => {
            if reads.failing_since.is_none() {
                reads.failing_since = Some(Instant::now());
                info!("report_lost", kv: {
                    upstream = engine.info.id.name.to_string(), reason:? = reason
                });
            }
        }
    }
}

/// Records the rest that an engine asks for in an answer to a report's read or an order.
pub(crate) fn record_rest(rests: &Mutex<RestTable>, engine: &EngineId, rest: Option<Duration>) {
    if let Some(rest) = rest {
        rests.lock().record(boot_now(), engine, rest);
        info!("engine_rests", kv: {
            upstream = engine.name.to_string(), rest_ms = rest.as_millis()
        });
    }
}

/// The planner's input for an engine. One that rests accepts no orders.
pub(crate) fn plan_engine(
    engine: &DirectedEngine,
    open_requests: &[OpenRequestCount],
    is_resting: bool,
    is_limited: bool,
) -> PlanEngine {
    let inventory = engine.inventory.lock();
    let failing = engine.reads.lock().failing_since;
    let is_silent = failing.is_some_and(|since| since.elapsed() > SILENCE_LIMIT);
    let status = inventory.status();
    let count = open_requests.iter().find(|count| count.engine == engine.info.id);
    let is_leaving = status.is_some_and(|status| status.is_leaving);
    PlanEngine {
        contents_known: status.is_some(),
        id: engine.info.id.clone(),
        centre: Arc::clone(&engine.info.centre),
        accepts_orders: inventory.is_free() && !is_resting,
        free_in: inventory.free_in(boot_now()),
        accepts_work: engine.info.state == UpstreamState::Ready && !is_silent && !is_leaving,
        possible: inventory.possible_models(),
        usable: inventory.usable_models().into_iter().map(|entry| entry.model).collect(),
        recently_loaded: inventory.recently_loaded().cloned().collect(),
        adapters: inventory.possible_adapters(),
        in_memory: status.map(|status| status.in_memory.clone()).unwrap_or_default(),
        on_disk: status.map(|status| status.on_disk.clone()).unwrap_or_default(),
        active: count.map_or(0, |count| count.active),
        is_limited,
    }
}
