//! Follows the state of an owned upstream and reports it.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant, SystemTime};

use wheel_types::{
    AdapterName, EngineReport, EngineState, IncarnationId, LoadReport, ModelName, ModelPhase,
    ModelUsage,
};

use crate::{LeavingSet, OwnedUpstream, OwnerSettings, ReportMessage, ReportSink};

/// Time between two reads of an engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same while the engine is loading, when others wait for the end of it.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which an unchanged state is reported again. A report that was lost is sent again at
/// once, and a restarted instance asks, so that this only mends what nobody noticed.
const REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Time after its last request in which a model still counts as used, in milliseconds.
const RECENT_USE_MS: u64 = 1_000;
/// Failed reads in a row after which an engine counts as unreachable.
const MAX_FAILED_READS: u32 = 2;

/// Polls one upstream while it is owned here.
pub(crate) struct EngineWatch {
    pub(crate) settings: OwnerSettings,
    pub(crate) sink: Arc<dyn ReportSink>,
    pub(crate) leaving: Arc<LeavingSet>,
    pub(crate) watches_engine: bool,
}

/// What was read last.
#[derive(Default)]
struct WatchState {
    engine: EngineState,
    /// By the engine's own word or by the platform's list.
    leaving: bool,
    load: LoadReport,
    foreign: u32,
    failed_reads: u32,
    reported: Option<(Instant, EngineReport)>,
    sequence: u64,
}

impl EngineWatch {
    /// Watches `upstream` until it is disowned.
    pub(crate) fn spawn(self, upstream: &Arc<OwnedUpstream>) {
        let disowned = upstream.disowned.clone();
        let weak = Arc::downgrade(upstream);
        tokio::spawn(async move {
            tokio::select! {
                () = disowned.cancelled() => {}
                () = self.run(weak) => {}
            }
        });
    }

    async fn run(self, upstream: Weak<OwnedUpstream>) {
        let mut state = WatchState { sequence: unix_micros(), ..WatchState::default() };
        let Some(due) = upstream.upgrade().map(|strong| Arc::clone(&strong.report_due)) else {
            return;
        };
        let mut asked = false;
        loop {
            let Some(strong) = upstream.upgrade() else { return };
            if self.watches_engine {
                read_engine(&strong, &mut state).await;
            }
            self.note_leaving(&strong, &mut state);
            self.report_change(&strong, &mut state, asked);
            drop(strong);
            asked = tokio::time::timeout(state.poll_interval(), due.notified()).await.is_ok();
        }
    }

    /// The first sign that the upstream leaves sends what waits elsewhere.
    fn note_leaving(&self, upstream: &OwnedUpstream, state: &mut WatchState) {
        let leaving = state.engine.leaving || self.leaving.contains(&upstream.spec().name);
        if leaving && !state.leaving {
            upstream.queue().refuse_waiting("the upstream is leaving");
        }
        state.leaving = leaving;
    }

    fn report_change(&self, upstream: &OwnedUpstream, state: &mut WatchState, asked: bool) {
        let report = self.report(upstream, state);
        let due = asked
            || state
                .reported
                .as_ref()
                .is_none_or(|(at, last)| at.elapsed() >= REPORT_INTERVAL || differs(last, &report));
        if due {
            state.sequence += 1;
            state.reported = Some((Instant::now(), report.clone()));
            self.sink.publish(ReportMessage::Engine(Box::new(report)));
        }
    }

    fn report(&self, upstream: &OwnedUpstream, state: &WatchState) -> EngineReport {
        let spec = upstream.spec();
        let (queued, _) = upstream.queue().depth();
        EngineReport {
            upstream: spec.name.clone(),
            centre: spec.data_centre.clone(),
            owner: self.settings.instance.clone(),
            relay: self.settings.relay,
            sequence: state.sequence,
            incarnation: state.engine.incarnation,
            reachable: state.is_reachable(),
            leaving: state.leaving,
            models: state.engine.models.clone(),
            load: state.load,
            queued: queued as u32,
            foreign: state.foreign,
            // Read before the use: see OwnedUpstream::generate.
            draining: upstream.drains().at(&spec.name),
            usage: upstream.usage().usage(),
            memory_checkpoints: state.engine.memory_checkpoints.clone(),
            disk_checkpoints: state.engine.disk_checkpoints.clone(),
        }
    }
}

impl WatchState {
    fn is_reachable(&self) -> bool {
        self.failed_reads < MAX_FAILED_READS
    }

    fn poll_interval(&self) -> Duration {
        let loading = self.engine.models.iter().any(|model| {
            model.phase == ModelPhase::Loading
                || model.adapters.iter().any(|adapter| adapter.phase == ModelPhase::Loading)
        });
        match loading {
            true => LOADING_POLL_INTERVAL,
            false => POLL_INTERVAL,
        }
    }
}

async fn read_engine(upstream: &OwnedUpstream, state: &mut WatchState) {
    let Some(client) = upstream.engine() else { return };
    let (engine, load) = tokio::join!(client.state(), client.load());
    match engine {
        Ok(engine) => {
            state.failed_reads = 0;
            state.foreign = note_foreign(upstream, &engine);
            upstream.usage().retain_models(|model| engine.find(model).is_some());
            let name = &upstream.spec().name;
            upstream.drains().retain_models(name, |model| engine.find(model).is_some());
            state.engine = engine;
        }
        Err(_) => {
            state.failed_reads += 1;
            if state.failed_reads == MAX_FAILED_READS {
                // Its memory may be gone; what it holds is learned when it answers again.
                state.engine =
                    EngineState { incarnation: IncarnationId(0), ..EngineState::default() };
                upstream.queue().refuse_waiting("the engine can't be reached");
            }
        }
    }
    if let Ok(load) = load {
        state.load = load;
    }
}

/// Requests of an earlier owner take slots until they end.
fn note_foreign(upstream: &OwnedUpstream, engine: &EngineState) -> u32 {
    let foreign = engine.running.iter().filter(|id| !upstream.queue().contains(id)).count() as u32;
    upstream.queue().set_foreign(foreign);
    foreign
}

/// Whether a report says something that routing or placement acts on.
fn differs(last: &EngineReport, next: &EngineReport) -> bool {
    last.incarnation != next.incarnation
        || last.reachable != next.reachable
        || last.leaving != next.leaving
        || last.models != next.models
        || last.draining != next.draining
        || (last.foreign > 0) != (next.foreign > 0)
        || used_models(last).ne(used_models(next))
        || load_class(last) != load_class(next)
}

/// The models that are in use, or were a moment ago, so that steady use isn't reported at each
/// request. Of those that drain the placement waits for the end of the last request.
fn used_models(report: &EngineReport) -> impl Iterator<Item = (&ModelName, Option<&AdapterName>)> {
    let is_used = |usage: &&ModelUsage| {
        let recent = usage.idle_ms < RECENT_USE_MS && !report.draining.contains(&usage.model);
        usage.in_use > 0 || recent
    };
    let used = report.usage.iter().filter(is_used);
    used.map(|usage| (&usage.model, usage.adapter.as_ref()))
}

/// A coarse class of load, so that reports are few: doublings of what runs and waits.
fn load_class(report: &EngineReport) -> u32 {
    let depth = report.load.running + report.load.waiting + report.queued;
    u32::BITS - depth.leading_zeros()
}

/// A restarted owner of the same name goes on above its former sequence.
fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
