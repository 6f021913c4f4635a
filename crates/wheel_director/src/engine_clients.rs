//! Clients to the engines of a data centre, for orders and state reads.

use std::collections::HashMap;

use wheel_manifest::{ActiveManifest, UpstreamKind, UpstreamSpec};
use wheel_types::{CentreName, UpstreamName};
use wheel_upstream::{EngineClient, EngineSettings};

use crate::DirectorSettings;

/// One client for each engine that the manifest lists in the data centre.
#[derive(Default)]
pub(crate) struct EngineClients {
    clients: HashMap<UpstreamName, (UpstreamSpec, EngineClient)>,
}

impl EngineClients {
    /// Applies a manifest; clients of unchanged engines keep their connections.
    pub(crate) fn apply_manifest(
        &mut self,
        settings: &DirectorSettings,
        manifest: &ActiveManifest,
    ) {
        self.clients.retain(|name, (spec, _)| manifest.index.upstream(name.as_str()) == Some(spec));
        for spec in engines_of(&settings.centre, manifest) {
            self.clients.entry(spec.name.clone()).or_insert_with(|| {
                let engine = EngineSettings::new(spec.name.clone(), spec.address)
                    .order_life(settings.order_life());
                (spec.clone(), EngineClient::open(engine))
            });
        }
    }

    /// The client of `engine`.
    pub(crate) fn get(&self, engine: &UpstreamName) -> Option<EngineClient> {
        self.clients.get(engine).map(|(_, client)| client.clone())
    }
}

/// The engines of `centre`.
pub(crate) fn engines_of<'a>(
    centre: &'a CentreName,
    manifest: &'a ActiveManifest,
) -> impl Iterator<Item = &'a UpstreamSpec> {
    manifest
        .manifest
        .upstreams
        .iter()
        .filter(move |spec| spec.kind == UpstreamKind::Engine && &spec.data_centre == centre)
}
