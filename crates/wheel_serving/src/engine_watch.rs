//! Polls the state of an owned upstream and reports it.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant, SystemTime};

use wheel_types::{
    AdapterName, EngineReport, EngineState, IncarnationId, LoadReport, ModelName, ModelPhase,
    ModelUsage,
};

use crate::{LeavingSet, OwnedUpstream, OwnerSettings, ReportMessage, ReportSink};

/// Interval for reading an engine's state.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The same while a load or the end of a drain is waited for.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which an unchanged state is reported again. A lost report is resent at once and a
/// restarted instance requests all reports, so this only repairs losses that weren't detected.
const REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Time after its last request for which a model still counts as used, in milliseconds.
const RECENT_USE_MS: u64 = 1_000;
/// Consecutive failed reads after which an engine counts as unreachable.
const MAX_FAILED_READS: u32 = 2;

/// Polls one upstream while it is owned here.
pub(crate) struct EngineWatch {
    pub(crate) settings: OwnerSettings,
    pub(crate) sink: Arc<dyn ReportSink>,
    pub(crate) leaving: Arc<LeavingSet>,
    pub(crate) polls_engine: bool,
}

/// The last state that was read and reported.
#[derive(Default)]
struct WatchState {
    engine: EngineState,
    /// The last start that was read, also while the engine can't be reached.
    last_start: Option<IncarnationId>,
    /// As reported by the engine itself or by the platform's list.
    leaving: bool,
    load: LoadReport,
    external_running: u32,
    /// When the last read of the state began.
    read_began: Option<Instant>,
    failed_reads: u32,
    reported: Option<(Instant, EngineReport)>,
    sequence: u64,
}

impl EngineWatch {
    /// Polls `upstream` until it is disowned.
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
        let mut is_requested = false;
        loop {
            let Some(strong) = upstream.upgrade() else { return };
            if self.polls_engine {
                read_engine(&strong, &mut state).await;
            }
            self.update_leaving(&strong, &mut state);
            self.report_change(&strong, &mut state, is_requested);
            let interval = state.poll_interval(&strong);
            drop(strong);
            is_requested = tokio::time::timeout(interval, due.notified()).await.is_ok();
        }
    }

    /// Refuses the waiting requests as soon as the upstream starts to leave, so that they are sent
    /// elsewhere.
    fn update_leaving(&self, upstream: &OwnedUpstream, state: &mut WatchState) {
        let leaving = state.engine.leaving || self.leaving.contains(&upstream.spec().name);
        if leaving && !state.leaving {
            upstream.queue().refuse_waiting("the upstream is leaving");
        }
        state.leaving = leaving;
    }

    fn report_change(&self, upstream: &OwnedUpstream, state: &mut WatchState, is_requested: bool) {
        let report = self.report(upstream, state);
        let due = is_requested
            || state.reported.as_ref().is_none_or(|(at, last)| {
                at.elapsed() >= REPORT_INTERVAL || is_significant_change(last, &report)
            });
        if due {
            state.sequence += 1;
            state.reported = Some((Instant::now(), report.clone()));
            self.sink.publish(ReportMessage::Engine(Box::new(report)));
        }
    }

    fn report(&self, upstream: &OwnedUpstream, state: &WatchState) -> EngineReport {
        let spec = upstream.spec();
        let (queued, _) = upstream.queue().depth();
        // Must be read before the usage, see OwnedUpstream::generate.
        let draining = upstream.draining().at(&spec.name);
        let usage = upstream.usage().usage();
        let is_read = |model: &ModelName| !state.has_unread_end(upstream, model);
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
            external_running: state.external_running,
            draining: draining.into_iter().filter(is_read).collect(),
            usage,
            memory_checkpoints: state.engine.memory_checkpoints.clone(),
            disk_checkpoints: state.engine.disk_checkpoints.clone(),
        }
    }
}

impl WatchState {
    fn is_reachable(&self) -> bool {
        self.failed_reads < MAX_FAILED_READS
    }

    /// Whether a request of the model ended after the engine was read. One that was given up may still
    /// be running there, and the engine alone can tell when that is over.
    fn has_unread_end(&self, upstream: &OwnedUpstream, model: &ModelName) -> bool {
        self.read_began.is_none_or(|began| upstream.usage().has_ended_since(model, began))
    }

    fn poll_interval(&self, upstream: &OwnedUpstream) -> Duration {
        let draining = upstream.draining().at(&upstream.spec().name);
        let loading = self.engine.models.iter().any(|model| {
            model.phase == ModelPhase::Loading
                || model.adapters.iter().any(|adapter| adapter.phase == ModelPhase::Loading)
        });
        let is_waited_for =
            loading || draining.iter().any(|model| self.has_unread_end(upstream, model));
        match is_waited_for {
            true => CHANGE_POLL_INTERVAL,
            false => POLL_INTERVAL,
        }
    }
}

async fn read_engine(upstream: &OwnedUpstream, state: &mut WatchState) {
    let Some(client) = upstream.engine() else { return };
    let began = Instant::now();
    let (engine, load) = tokio::join!(client.state(), client.load());
    match engine {
        Ok(engine) => {
            state.failed_reads = 0;
            state.read_began = Some(began);
            let last_start = state.last_start.replace(engine.incarnation);
            if last_start.is_some_and(|last_start| last_start != engine.incarnation) {
                upstream.rest.clear();
            }
            state.external_running = update_external_running(upstream, &engine);
            upstream.usage().retain_models(|model| engine.find(model).is_some());
            let name = &upstream.spec().name;
            upstream.draining().retain_models(name, |model| engine.find(model).is_some());
            state.engine = engine;
        }
        Err(_) => {
            state.failed_reads += 1;
            if state.failed_reads == MAX_FAILED_READS {
                // It may have lost its memory; its models are read when it answers again.
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

/// Counts the running requests of an earlier owner, which take slots until they end.
fn update_external_running(upstream: &OwnedUpstream, engine: &EngineState) -> u32 {
    let external_running =
        engine.running.iter().filter(|id| !upstream.queue().contains(id)).count() as u32;
    upstream.queue().set_external_running(external_running);
    external_running
}

/// Whether two reports differ in something that routing or placement depends on.
fn is_significant_change(last: &EngineReport, next: &EngineReport) -> bool {
    last.incarnation != next.incarnation
        || last.reachable != next.reachable
        || last.leaving != next.leaving
        || last.models != next.models
        || last.draining != next.draining
        || (last.external_running > 0) != (next.external_running > 0)
        || used_models(last).ne(used_models(next))
        || load_class(last) != load_class(next)
}

/// The models that are or were recently in use, so that steady use isn't reported at each request.
/// A draining model counts only while it is in use, because placement waits for its last request to
/// end.
fn used_models(report: &EngineReport) -> impl Iterator<Item = (&ModelName, Option<&AdapterName>)> {
    let is_used = |usage: &&ModelUsage| {
        let recent = usage.idle_ms < RECENT_USE_MS && !report.draining.contains(&usage.model);
        usage.in_use > 0 || recent
    };
    let used = report.usage.iter().filter(is_used);
    used.map(|usage| (&usage.model, usage.adapter.as_ref()))
}

/// The load as a power of two of running and waiting requests, so that few changes are reported.
fn load_class(report: &EngineReport) -> u32 {
    let depth = report.load.running + report.load.waiting + report.queued;
    u32::BITS - depth.leading_zeros()
}

/// Start of the report sequence, so that a restarted owner of the same name continues above its
/// former sequence.
fn unix_micros() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as u64
}
