//! Look-ups in one revision of the manifest.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;

use wheel_types::{
    AdapterName, CallerName, CentreName, ModelName, RequestRank, ServiceName, UpstreamName,
};

use crate::path_check::MAX_PREFIX_BYTES;
use crate::{
    AdapterSpec, CallerSpec, CentreSpec, DeploymentManifest, LinkSpec, ModelSpec, RankSpec,
    ServiceSpec, UpstreamSpec,
};

/// Finds the entries of a checked [`DeploymentManifest`] by name, each with a hash look-up. Built
/// once per revision.
///
/// ```
/// use wheel_manifest::{DeploymentManifest, ManifestIndex};
///
/// let source = r#"
/// group = "demo"
/// rank = [{ name = "question", deadline_ms = 1400 }]
/// data_centre = [{ name = "north", region = "isan", grantors = ["a1"] }]
/// "#;
/// let index = ManifestIndex::new(DeploymentManifest::parse(source).unwrap());
/// assert_eq!(index.rank("question").unwrap().index(), 0);
/// assert!(index.model("no-such-model").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct ManifestIndex {
    manifest: Arc<DeploymentManifest>,
    ranks: HashMap<String, u32>,
    centres: HashMap<CentreName, u32>,
    callers: HashMap<CallerName, u32>,
    tokens: HashMap<String, u32>,
    upstreams: HashMap<UpstreamName, u32>,
    models: HashMap<ModelName, u32>,
    adapters: HashMap<AdapterName, u32>,
    services: HashMap<ServiceName, u32>,
    prefixes: HashMap<String, u32>,
    links: HashMap<[CentreName; 2], u32>,
    centre_upstreams: HashMap<CentreName, Vec<u32>>,
    service_upstreams: HashMap<ServiceName, Vec<u32>>,
    model_adapters: HashMap<ModelName, Vec<u32>>,
    model_services: HashMap<ModelName, Vec<u32>>,
    adapter_services: HashMap<AdapterName, Vec<u32>>,
}

impl ManifestIndex {
    /// Indexes a checked manifest.
    pub fn new(manifest: impl Into<Arc<DeploymentManifest>>) -> Self {
        let manifest = manifest.into();
        let upstreams = &manifest.upstreams;
        let services = &manifest.services;
        Self {
            ranks: positions(manifest.ranks.iter().map(|spec| Some(&spec.name))),
            centres: positions(manifest.centres.iter().map(|spec| Some(&spec.name))),
            callers: positions(manifest.callers.iter().map(|spec| Some(&spec.name))),
            tokens: positions(manifest.callers.iter().map(|spec| spec.token_hash.as_ref())),
            upstreams: positions(upstreams.iter().map(|spec| Some(&spec.name))),
            models: positions(manifest.models.iter().map(|spec| Some(&spec.name))),
            adapters: positions(manifest.adapters.iter().map(|spec| Some(&spec.name))),
            services: positions(services.iter().map(|spec| Some(&spec.name))),
            prefixes: positions(services.iter().map(|spec| spec.path_prefix.as_ref())),
            links: positions(manifest.links.iter().map(|spec| Some(&spec.between))),
            centre_upstreams: groups(upstreams.iter().map(|spec| [&spec.data_centre])),
            service_upstreams: groups(upstreams.iter().map(|spec| &spec.services)),
            model_adapters: groups(manifest.adapters.iter().map(|spec| [&spec.model])),
            model_services: groups(services.iter().map(|spec| &spec.models)),
            adapter_services: groups(services.iter().map(|spec| &spec.adapters)),
            manifest,
        }
    }

    /// The indexed manifest.
    pub fn manifest(&self) -> &Arc<DeploymentManifest> {
        &self.manifest
    }

    /// The rank with this name.
    pub fn rank(&self, name: &str) -> Option<RequestRank> {
        let position = *self.ranks.get(name)?;
        u8::try_from(position).ok().map(RequestRank)
    }

    /// The manifest's entry for a rank.
    pub fn rank_spec(&self, rank: RequestRank) -> Option<&RankSpec> {
        self.manifest.ranks.get(rank.index())
    }

    /// The data centre with this name.
    pub fn centre(&self, name: &str) -> Option<&CentreSpec> {
        pick(&self.manifest.centres, self.centres.get(name))
    }

    /// The caller with this name.
    pub fn caller(&self, name: &str) -> Option<&CallerSpec> {
        pick(&self.manifest.callers, self.callers.get(name))
    }

    /// The caller whose token has this BLAKE3 hash, in hexadecimal.
    pub fn caller_of_token(&self, token_hash: &str) -> Option<&CallerSpec> {
        pick(&self.manifest.callers, self.tokens.get(token_hash))
    }

    /// The upstream with this name.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamSpec> {
        pick(&self.manifest.upstreams, self.upstreams.get(name))
    }

    /// The upstreams of a data centre, in the order of the manifest.
    pub fn upstreams_in(&self, centre: &str) -> impl Iterator<Item = &UpstreamSpec> {
        pick_all(&self.manifest.upstreams, self.centre_upstreams.get(centre))
    }

    /// The upstreams that serve a plain service, in the order of the manifest.
    pub fn upstreams_of(&self, service: &str) -> impl Iterator<Item = &UpstreamSpec> {
        pick_all(&self.manifest.upstreams, self.service_upstreams.get(service))
    }

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        pick(&self.manifest.models, self.models.get(name))
    }

    /// The models that a service serves, in the order of its list.
    pub fn models_of(&self, service: &str) -> impl Iterator<Item = &ModelSpec> {
        let models = self.service(service).into_iter().flat_map(|spec| &spec.models);
        models.filter_map(|name| self.model(name.as_str()))
    }

    /// The adapter that callers name as `MODEL:ADAPTER`.
    pub fn adapter(&self, full_name: &str) -> Option<&AdapterSpec> {
        let (model, adapter) = full_name.split_once(':')?;
        let spec = pick(&self.manifest.adapters, self.adapters.get(adapter))?;
        (spec.model.as_str() == model).then_some(spec)
    }

    /// The adapters of a model, in the order of the manifest.
    pub fn adapters_of(&self, model: &str) -> impl Iterator<Item = &AdapterSpec> {
        pick_all(&self.manifest.adapters, self.model_adapters.get(model))
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        pick(&self.manifest.services, self.services.get(name))
    }

    /// The services that serve a model, in the order of the manifest.
    pub fn services_of(&self, model: &str) -> impl Iterator<Item = &ServiceSpec> {
        pick_all(&self.manifest.services, self.model_services.get(model))
    }

    /// The services that serve an adapter, in the order of the manifest.
    pub fn services_of_adapter(&self, adapter: &str) -> impl Iterator<Item = &ServiceSpec> {
        pick_all(&self.manifest.services, self.adapter_services.get(adapter))
    }

    /// The plain service with the longest prefix of `path`, matched by whole path segments. `path`
    /// must not include the query.
    pub fn service_at(&self, path: &str) -> Option<&ServiceSpec> {
        let end = path.floor_char_boundary(MAX_PREFIX_BYTES + 1);
        let ancestors = path[..end].rmatch_indices('/').map(|(slash, _)| &path[..slash]);
        let mut prefixes = std::iter::once(path).chain(ancestors);
        let position = prefixes.find_map(|prefix| self.prefixes.get(prefix));
        pick(&self.manifest.services, position)
    }

    /// The link between two data centres, or the default link if the manifest lists none.
    pub fn link(&self, one: &CentreName, other: &CentreName) -> LinkSpec {
        let between = [one.clone(), other.clone()];
        let reversed = [other.clone(), one.clone()];
        let position = self.links.get(&between).or_else(|| self.links.get(&reversed));
        let default = || LinkSpec { between, ..LinkSpec::default() };
        pick(&self.manifest.links, position).cloned().unwrap_or_else(default)
    }
}

/// Maps each name to its position; entries without a name are left out.
fn positions<'a, K: Clone + Eq + Hash + 'a>(
    names: impl Iterator<Item = Option<&'a K>>,
) -> HashMap<K, u32> {
    let named = (0..).zip(names).filter_map(|(position, name)| Some((name?.clone(), position)));
    named.collect()
}

/// Maps each name to the positions of the entries that list it.
fn groups<'a, K: Clone + Eq + Hash + 'a, L: IntoIterator<Item = &'a K>>(
    lists: impl Iterator<Item = L>,
) -> HashMap<K, Vec<u32>> {
    let mut groups: HashMap<K, Vec<u32>> = HashMap::new();
    for (position, list) in (0..).zip(lists) {
        for name in list {
            groups.entry(name.clone()).or_default().push(position);
        }
    }
    groups
}

fn pick<'a, T>(specs: &'a [T], position: Option<&u32>) -> Option<&'a T> {
    specs.get(*position? as usize)
}

fn pick_all<'a, T>(specs: &'a [T], positions: Option<&'a Vec<u32>>) -> impl Iterator<Item = &'a T> {
    positions.into_iter().flatten().filter_map(|position| pick(specs, Some(position)))
}
