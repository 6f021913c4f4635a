//! The parts of the operators' manifest that placement needs.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wheel_manifest::{AdapterSpec, DeploymentManifest, ModelSpec, ServiceSpec};
use wheel_types::{AdapterName, ModelName, RequestRank, ServiceName};

/// The manifest's models, adapters, worths and dependencies, indexed by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementManifest {
    models: HashMap<ModelName, ModelSpec>,
    pinned: Vec<ModelName>,
    adapters: HashMap<AdapterName, AdapterSpec>,
    worths: Vec<f64>,
    dependencies: HashMap<ModelName, Vec<ModelName>>,
}

impl PlacementManifest {
    /// Indexes a validated manifest.
    pub(crate) fn new(manifest: &DeploymentManifest) -> Self {
        let models = manifest.models.iter().map(|model| (model.name.clone(), model.clone()));
        let adapters = manifest.adapters.iter().map(|spec| (spec.name.clone(), spec.clone()));
        let pinned = manifest.models.iter().filter(|model| model.min_replicas > 0);
        Self {
            models: models.collect(),
            pinned: pinned.map(|model| model.name.clone()).collect(),
            adapters: adapters.collect(),
            worths: manifest.ranks.iter().map(|rank| rank.worth).collect(),
            dependencies: find_dependencies(&manifest.services),
        }
    }

    /// The specification of a model.
    pub(crate) fn model(&self, model: &ModelName) -> Option<&ModelSpec> {
        self.models.get(model)
    }

    /// Models with `min_replicas` above 0, in the order of the manifest.
    pub(crate) fn pinned(&self) -> impl Iterator<Item = &ModelSpec> {
        self.pinned.iter().filter_map(|model| self.models.get(model))
    }

    /// The specification of an adapter.
    pub(crate) fn adapter(&self, adapter: &AdapterName) -> Option<&AdapterSpec> {
        self.adapters.get(adapter)
    }

    /// Worth of an answer of `rank`.
    pub(crate) fn worth(&self, rank: RequestRank) -> f64 {
        self.worths.get(rank.index()).copied().unwrap_or(1.0)
    }

    /// The highest worth of all ranks.
    pub(crate) fn max_worth(&self) -> f64 {
        self.worths.iter().copied().fold(0.0, f64::max)
    }

    /// Models of the services that the services of `model` depend on.
    pub(crate) fn dependencies(&self, model: &ModelName) -> &[ModelName] {
        self.dependencies.get(model).map_or(&[], Vec::as_slice)
    }
}

/// For each model, the models of all services that its own services depend on.
fn find_dependencies(services: &[ServiceSpec]) -> HashMap<ModelName, Vec<ModelName>> {
    let by_name: BTreeMap<&ServiceName, &ServiceSpec> =
        services.iter().map(|service| (&service.name, service)).collect();
    let mut dependencies: HashMap<ModelName, BTreeSet<ModelName>> = HashMap::new();
    for service in services.iter().filter(|service| !service.depends_on.is_empty()) {
        let needed = dependency_models(service, &by_name);
        for model in &service.models {
            let others = needed.iter().filter(|other| *other != model).cloned();
            dependencies.entry(model.clone()).or_default().extend(others);
        }
    }
    dependencies.into_iter().map(|(model, others)| (model, others.into_iter().collect())).collect()
}

fn dependency_models(
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
