//! Clients for the orders and readings of a data centre's engines.

use std::collections::HashMap;

use wheel_manifest::{ActiveManifest, UpstreamKind, UpstreamSpec};
use wheel_types::{CentreName, UpstreamName};
use wheel_upstream::{EngineClient, EngineSettings};

use crate::DirectorSettings;

/// One client for each engine of the data centre, as the text lists them.
#[derive(Default)]
pub(crate) struct EngineClients {
    clients: HashMap<UpstreamName, (UpstreamSpec, EngineClient)>,
}

impl EngineClients {
    /// Takes over a text; clients of unchanged engines keep their connections.
    pub(crate) fn follow(&mut self, settings: &DirectorSettings, text: &ActiveManifest) {
        self.clients.retain(|name, (spec, _)| text.index.upstream(name.as_str()) == Some(spec));
        for spec in engines_of(&settings.centre, text) {
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
    text: &'a ActiveManifest,
) -> impl Iterator<Item = &'a UpstreamSpec> {
    text.manifest
        .upstreams
        .iter()
        .filter(move |spec| spec.kind == UpstreamKind::Engine && &spec.data_centre == centre)
}
