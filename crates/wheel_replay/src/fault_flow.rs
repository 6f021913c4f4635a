//! Faults of a replay.

use std::time::Duration;

use wheel_policy::SlotSample;
use wheel_types::{ModelName, ModelPhase, RequestId};

use crate::call_record::CallOutcome;
use crate::replay_run::{PLAN_DELAY, ReplayEvent, ReplayRun};
use crate::{FaultKind, TraceFault};

/// Time over which the rerouting of a lost engine's requests is spread, in milliseconds.
const REQUEUE_SPREAD_MS: u64 = 200;
/// Time until a fault that needs a load in flight is tried again when there is none.
const FAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

impl ReplayRun<'_> {
    /// Stops an engine. Its models, loads and host memory are lost, with `wiped` its disk as well;
    /// its queued and running requests are interrupted.
    pub(crate) fn stop_engine(&mut self, engine: usize, wiped: bool) {
        let lost = &mut self.engines[engine];
        lost.accrue(self.now);
        lost.alive = false;
        lost.view.leaving = true;
        let models: Vec<_> = lost.view.models.drain(..).collect();
        lost.view.memory_checkpoints.clear();
        if wiped {
            lost.view.disk_checkpoints.clear();
        }
        let running = std::mem::take(&mut lost.running);
        let waiting = lost.queue.drain();
        self.epochs[engine] += 1;
        self.store.abort(self.now, engine);
        self.demand.clear_adapters(engine);
        let loading = models.iter().filter(|one| one.phase == ModelPhase::Loading).count();
        self.counts.lost_loads += loading as u64;
        for placed in &models {
            self.announce(engine, &placed.model);
        }
        for request in waiting {
            self.demand.adjust_queued(&request.model, -1);
            if let Ok(index) = request.id.as_str().parse::<usize>() {
                self.requeue(index);
            }
        }
        for index in running {
            self.interrupt(engine, index);
        }
        self.schedule_plan(self.engines[engine].centre, PLAN_DELAY);
    }

    /// Ends the run of a request on a lost engine: it is routed again if it may run twice, else its
    /// outcome is unknown.
    fn interrupt(&mut self, engine: usize, index: usize) {
        let model = self.calls[index].arrival.model.clone();
        let sample = SlotSample::default();
        self.engines[engine].queue.finish(self.now, &RequestId::new(index.to_string()), sample);
        self.demand.adjust_running(&model, -1);
        match self.demand.is_idempotent(&model) {
            true => self.requeue(index),
            false => self.calls[index].outcome = Some(CallOutcome::Unknown),
        }
    }

    fn requeue(&mut self, index: usize) {
        let spread = Duration::from_millis(index as u64 * 37 % REQUEUE_SPREAD_MS);
        self.schedule(self.now + spread, ReplayEvent::Dispatch(index));
    }

    pub(crate) fn begin_fault(&mut self, fault: &TraceFault) {
        let span = Duration::from_secs(fault.for_s);
        match &fault.kind {
            FaultKind::StoreSlowed { factor } => {
                self.store.set_factor(self.now, *factor);
                self.schedule_loads();
            }
            FaultKind::CentreCut { centre } => self.set_cut(*centre, true),
            FaultKind::EngineLost { upstream } => {
                let found = self.engines.iter().position(|one| &one.view.upstream == upstream);
                if let Some(engine) = found {
                    self.schedule_outage(engine, Duration::ZERO, span, false);
                }
            }
            FaultKind::LoadingEngineLost => match self.store.first_loading_engine() {
                Some(engine) => self.schedule_outage(engine, Duration::ZERO, span, false),
                None if self.now < self.end => {
                    let retry_at = self.now + FAULT_RETRY_DELAY;
                    self.schedule(retry_at, ReplayEvent::Fault(fault.clone()));
                    return;
                }
                None => {}
            },
            FaultKind::EnginesReclaimed { count, notice_s } => {
                for engine in 0..*count {
                    self.schedule_outage(engine, Duration::from_secs(*notice_s), span, true);
                }
            }
        }
        self.schedule(self.now + span, ReplayEvent::FaultEnd(fault.clone()));
    }

    pub(crate) fn end_fault(&mut self, fault: &TraceFault) {
        match fault.kind {
            FaultKind::StoreSlowed { .. } => {
                self.store.set_factor(self.now, 1.0);
                self.schedule_loads();
            }
            FaultKind::CentreCut { centre } => self.set_cut(centre, false),
            _ => {}
        }
    }

    fn schedule_outage(&mut self, engine: usize, notice: Duration, span: Duration, wiped: bool) {
        self.engines[engine].view.leaving = true;
        let models: Vec<ModelName> =
            self.engines[engine].view.models.iter().map(|one| one.model.clone()).collect();
        for model in models {
            self.announce(engine, &model);
        }
        self.schedule(self.now + notice, ReplayEvent::EngineStopped { engine, wiped });
        self.schedule(self.now + notice + span, ReplayEvent::EngineRestored(engine));
    }

    fn set_cut(&mut self, centre: usize, cut: bool) {
        self.centres[centre].cut = cut;
        let models: Vec<ModelName> = self.demand.models().cloned().collect();
        for model in models {
            for other in 0..self.centres.len() {
                self.schedule(
                    self.now,
                    ReplayEvent::UpdateRoutes { centre: other, model: model.clone() },
                );
            }
        }
    }
}
