//! What one data centre's engines load and unload.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_manifest::DeploymentManifest;
use wheel_types::{ModelName, MonotonicTime};

use crate::adapter_pass::AdapterPass;
use crate::drain_pass::DrainPass;
use crate::idle_pass::IdlePass;
use crate::load_pass::LoadPass;
use crate::placement_text::PlacementText;
use crate::plan_round::{LoadPromise, PlanRound};
use crate::{
    CheckpointSource, DemandView, FleetView, PlacementSettings, PlacementStep, StoreGauge,
};

/// Plans the loads and unloads of one data centre; run by the holder of its lease.
///
/// Give it the whole view each time: a plan is made from what the view says, and the only memory
/// between plans is which loads wait for memory that is being freed. Each step must be ordered, and
/// show in the next view, before the next plan is made; a step that wasn't ordered is planned again.
#[derive(Clone, Debug)]
pub struct PlacementPlanner {
    settings: PlacementSettings,
    text: PlacementText,
    gauge: StoreGauge,
    promises: BTreeMap<ModelName, LoadPromise>,
}

impl PlacementPlanner {
    /// Makes a planner for the services and models of `text`.
    pub fn open(settings: PlacementSettings, text: &DeploymentManifest) -> Self {
        Self {
            settings,
            text: PlacementText::new(text),
            gauge: StoreGauge::default(),
            promises: BTreeMap::new(),
        }
    }

    /// Takes over a new revision of the text.
    pub fn set_text(&mut self, text: &DeploymentManifest) {
        self.text = PlacementText::new(text);
    }

    /// Counts a load that ended, or that already takes longer than expected.
    pub fn observe_load(&mut self, model: &ModelName, source: CheckpointSource, taken: Duration) {
        let expected = self.text.model(model).map_or(0, |spec| spec.load_ms);
        self.gauge.observe(source, Duration::from_millis(expected), taken);
    }

    /// Expected time of a load of `model` from `source`, at the store's present speed.
    pub fn expected_load(&self, model: &ModelName, source: CheckpointSource) -> Duration {
        let fleet = FleetView::default();
        let demand = DemandView::default();
        let now = MonotonicTime::default();
        let mut round = PlanRound::new(now, &self.settings, &self.text, &fleet, &demand);
        round.slowdown = self.gauge.slowdown();
        round.load_time(model, source)
    }

    /// Plans the next steps.
    pub fn plan(
        &mut self,
        now: MonotonicTime,
        fleet: &FleetView,
        demand: &DemandView,
    ) -> Vec<PlacementStep> {
        let promises = std::mem::take(&mut self.promises).into_iter().collect();
        let mut round = PlanRound::new(now, &self.settings, &self.text, fleet, demand);
        round.slowdown = self.gauge.slowdown();
        DrainPass::run(&mut round, promises);
        LoadPass::run(&mut round);
        AdapterPass::run(&mut round);
        IdlePass::run(&mut round);
        let (promises, steps) = (round.promises, round.steps);
        self.promises = promises;
        steps
    }
}
