//! A revision of the text, ready to be served from.

use std::collections::HashMap;
use std::sync::Arc;

use wheel_types::{AdapterName, ModelName, RequestRank, ServiceName, TextRevision, UpstreamName};

use crate::{
    AdapterSpec, CallerSpec, ModelSpec, OperatorsText, RankSpec, ServiceSpec, TextHash,
    UpstreamSpec,
};

/// An accepted revision: its source, its checked form and lookups by name.
///
/// Positions in the checked form serve as values of the lookups, so nothing stands twice.
#[derive(Clone, Debug, Default)]
pub struct ServingText {
    /// The revision.
    pub revision: TextRevision,
    /// Its chained hash.
    pub hash: TextHash,
    /// The text as it was applied.
    pub source: Arc<str>,
    /// The checked form.
    pub text: OperatorsText,
    models: HashMap<ModelName, usize>,
    adapters: HashMap<AdapterName, usize>,
    services: HashMap<ServiceName, usize>,
    upstreams: HashMap<UpstreamName, usize>,
    model_services: HashMap<ModelName, Vec<usize>>,
    adapter_services: HashMap<AdapterName, Vec<usize>>,
}

impl ServingText {
    /// Prepares a checked text.
    pub fn new(
        revision: TextRevision,
        hash: TextHash,
        source: Arc<str>,
        text: OperatorsText,
    ) -> Self {
        let mut serving = Self { revision, hash, source, ..Self::default() };
        serving.models = positions(&text.models, |model| &model.name);
        serving.adapters = positions(&text.adapters, |adapter| &adapter.name);
        serving.services = positions(&text.services, |service| &service.name);
        serving.upstreams = positions(&text.upstreams, |upstream| &upstream.name);
        for (position, service) in text.services.iter().enumerate() {
            for model in &service.models {
                serving.model_services.entry(model.clone()).or_default().push(position);
            }
            for adapter in &service.adapters {
                serving.adapter_services.entry(adapter.clone()).or_default().push(position);
            }
        }
        serving.text = text;
        serving
    }

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.get(name).and_then(|position| self.text.models.get(*position))
    }

    /// The adapter with this name.
    pub fn adapter(&self, name: &str) -> Option<&AdapterSpec> {
        self.adapters.get(name).and_then(|position| self.text.adapters.get(*position))
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name).and_then(|position| self.text.services.get(*position))
    }

    /// The upstream with this name.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamSpec> {
        self.upstreams.get(name).and_then(|position| self.text.upstreams.get(*position))
    }

    /// The services that answer with `model`, in the order of the text.
    pub fn services_of_model(&self, model: &str) -> impl Iterator<Item = &ServiceSpec> {
        let positions = self.model_services.get(model).into_iter().flatten();
        positions.filter_map(|position| self.text.services.get(*position))
    }

    /// The services that answer with `adapter`, in the order of the text.
    pub fn services_of_adapter(&self, adapter: &str) -> impl Iterator<Item = &ServiceSpec> {
        let positions = self.adapter_services.get(adapter).into_iter().flatten();
        positions.filter_map(|position| self.text.services.get(*position))
    }

    /// The plain service whose path prefix is the longest that `path` begins with.
    pub fn service_at_path(&self, path: &str) -> Option<&ServiceSpec> {
        let prefix_len = |service: &&ServiceSpec| {
            let prefix = service.path_prefix.as_deref()?;
            let rest = path.strip_prefix(prefix)?;
            (rest.is_empty() || rest.starts_with('/')).then_some(prefix.len())
        };
        let matching = self.text.services.iter().filter(|service| prefix_len(service).is_some());
        matching.max_by_key(prefix_len)
    }

    /// The rank with this name and its specification.
    pub fn rank(&self, name: &str) -> Option<(RequestRank, &RankSpec)> {
        let position = self.text.ranks.iter().position(|rank| rank.name == name)?;
        let rank = RequestRank(u8::try_from(position).ok()?);
        Some((rank, &self.text.ranks[position]))
    }

    /// The caller with this name.
    pub fn caller(&self, name: &str) -> Option<&CallerSpec> {
        self.text.callers.iter().find(|caller| caller.name.as_str() == name)
    }
}

fn positions<'a, T, N>(specs: &'a [T], name: impl Fn(&'a T) -> &'a N) -> HashMap<N, usize>
where
    N: Clone + Eq + std::hash::Hash + 'a,
{
    specs.iter().enumerate().map(|(position, spec)| (name(spec).clone(), position)).collect()
}
