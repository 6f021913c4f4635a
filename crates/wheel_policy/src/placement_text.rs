//! What placement needs of the operators' text.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wheel_manifest::{AdapterSpec, DeploymentManifest, ModelSpec, ServiceSpec};
use wheel_types::{AdapterName, ModelName, RequestRank, ServiceName};

/// The text's models, adapters, worths and dependencies, indexed by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementText {
    models: HashMap<ModelName, ModelSpec>,
    pinned: Vec<ModelName>,
    adapters: HashMap<AdapterName, AdapterSpec>,
    worths: Vec<f64>,
    needs: HashMap<ModelName, Vec<ModelName>>,
}

impl PlacementText {
    /// Indexes a checked text.
    pub(crate) fn new(text: &DeploymentManifest) -> Self {
        let models = text.models.iter().map(|model| (model.name.clone(), model.clone()));
        let adapters = text.adapters.iter().map(|spec| (spec.name.clone(), spec.clone()));
        let pinned = text.models.iter().filter(|model| model.min_replicas > 0);
        Self {
            models: models.collect(),
            pinned: pinned.map(|model| model.name.clone()).collect(),
            adapters: adapters.collect(),
            worths: text.ranks.iter().map(|rank| rank.worth).collect(),
            needs: find_needs(&text.services),
        }
    }

    /// A model's entry.
    pub(crate) fn model(&self, model: &ModelName) -> Option<&ModelSpec> {
        self.models.get(model)
    }

    /// Models that have replicas at all times, by name.
    pub(crate) fn pinned(&self) -> impl Iterator<Item = &ModelSpec> {
        self.pinned.iter().filter_map(|model| self.models.get(model))
    }

    /// An adapter's entry.
    pub(crate) fn adapter(&self, adapter: &AdapterName) -> Option<&AdapterSpec> {
        self.adapters.get(adapter)
    }

    /// Worth of an answer of `rank`.
    pub(crate) fn worth(&self, rank: RequestRank) -> f64 {
        self.worths.get(rank.index()).copied().unwrap_or(1.0)
    }

    /// The highest worth of all ranks.
    pub(crate) fn top_worth(&self) -> f64 {
        self.worths.iter().copied().fold(0.0, f64::max)
    }

    /// Models without which the services that use `model` can't answer.
    pub(crate) fn needs(&self, model: &ModelName) -> &[ModelName] {
        self.needs.get(model).map_or(&[], Vec::as_slice)
    }
}

/// For each model, the models of all services that its own services depend on.
fn find_needs(services: &[ServiceSpec]) -> HashMap<ModelName, Vec<ModelName>> {
    let by_name: BTreeMap<&ServiceName, &ServiceSpec> =
        services.iter().map(|service| (&service.name, service)).collect();
    let mut needs: HashMap<ModelName, BTreeSet<ModelName>> = HashMap::new();
    for service in services.iter().filter(|service| !service.depends_on.is_empty()) {
        let needed = models_below(service, &by_name);
        for model in &service.models {
            let others = needed.iter().filter(|other| *other != model).cloned();
            needs.entry(model.clone()).or_default().extend(others);
        }
    }
    needs.into_iter().map(|(model, others)| (model, others.into_iter().collect())).collect()
}

fn models_below(
    service: &ServiceSpec,
    by_name: &BTreeMap<&ServiceName, &ServiceSpec>,
) -> BTreeSet<ModelName> {
    let mut models = BTreeSet::new();
    let mut seen = BTreeSet::from([&service.name]);
    let mut open: Vec<&ServiceName> = service.depends_on.iter().collect();
    while let Some(name) = open.pop() {
        let Some(below) = by_name.get(name).filter(|below| seen.insert(&below.name)) else {
            continue;
        };
        models.extend(below.models.iter().cloned());
        open.extend(below.depends_on.iter());
    }
    models
}
