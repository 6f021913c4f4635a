//! Plans what the engines of one data centre load and unload.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_manifest::DeploymentManifest;
use wheel_types::{ModelName, MonotonicTime};

use crate::adapter_pass::AdapterPass;
use crate::drain_pass::DrainPass;
use crate::idle_pass::IdlePass;
use crate::load_pass::LoadPass;
use crate::placement_manifest::PlacementManifest;
use crate::plan_round::{LoadReservation, PlanRound};
use crate::stage_ledger::StageLedger;
use crate::stage_pass::StagePass;
use crate::{
    CheckpointSource, DemandView, FleetView, PlacementSettings, PlacementStep, SlowdownEstimator,
};

/// Plans the loads and unloads of one data centre; run by the holder of its lease.
///
/// Pass the complete view each time: a plan is made from it alone, apart from the loads that have
/// memory reserved, which are kept between plans. Each step must be ordered, and show in the next
/// view, before the next plan is made; a step that wasn't ordered is planned again.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
    manifest: PlacementManifest,
    estimator: SlowdownEstimator,
    reservations: BTreeMap<ModelName, LoadReservation>,
    staging: StageLedger,
}

impl PlacementPlanner {
    /// Creates a planner for the services and models of `manifest`.
    pub fn open(settings: PlacementSettings, manifest: &DeploymentManifest) -> Self {
        Self {
            settings,
            manifest: PlacementManifest::new(manifest),
            estimator: SlowdownEstimator::default(),
            reservations: BTreeMap::new(),
            staging: StageLedger::default(),
        }
    }

    /// Replaces the manifest with a new revision.
    pub fn set_manifest(&mut self, manifest: &DeploymentManifest) {
        self.manifest = PlacementManifest::new(manifest);
    }

    /// Records the duration of a load that ended, or that already takes longer than expected.
    pub fn observe_load(
        &mut self,
        model: &ModelName,
        source: CheckpointSource,
        duration: Duration,
    ) {
        let expected = self.manifest.model(model).map_or(0, |spec| spec.load_ms);
        self.estimator.observe(source, Duration::from_millis(expected), duration);
    }

    /// Expected duration of a load of `model` from `source` at the store's current speed.
    pub fn expected_load(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        let fleet = FleetView::default();
        let demand = DemandView::default();
        let now = MonotonicTime::default();
        let mut round = PlanRound::new(now, &self.settings, &self.manifest, &fleet, &demand);
        round.slowdown = self.estimator.slowdown();
        round.load_time(model, source)
    }

    /// Plans the next steps.
    pub fn plan(
        &mut self,
        now: MonotonicTime,
        fleet: &FleetView,
        demand: &DemandView,
    ) -> Vec<PlacementStep> {
        let reservations = std::mem::take(&mut self.reservations).into_iter().collect();
        let mut round = PlanRound::new(now, &self.settings, &self.manifest, fleet, demand);
        round.slowdown = self.estimator.slowdown();
        round.staging = std::mem::take(&mut self.staging);
        let size_mib =
            |model: &ModelName| self.manifest.model(model).map_or(0, |one| one.memory_mib);
        round.staging.observe(now, fleet, size_mib);
        DrainPass::run(&mut round, reservations);
        LoadPass::run(&mut round);
        AdapterPass::run(&mut round);
        StagePass::run(&mut round);
        IdlePass::run(&mut round);
        let (reservations, staging, steps) = (round.reservations, round.staging, round.steps);
        self.reservations = reservations;
        self.staging = staging;
        steps
    }
}
