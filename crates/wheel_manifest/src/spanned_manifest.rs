//! All sections of a manifest with their byte spans.

use crate::fault_list::FaultList;
use crate::field_rule::{
    ADAPTER, CALLER, CENTRE, IDENTITY, LINK, MODEL, RANK, SERVICE, STORE, UPSTREAM,
};
use crate::shape_check::{SectionEntries, ShapeCheck};
use crate::spanned_entry::SpannedEntry;
use crate::{
    AdapterSpec, CallerIdentity, CallerSpec, CentreSpec, DeploymentManifest, LinkSpec, ModelSpec,
    RankSpec, ServiceSpec, StoreLimits, UpstreamSpec,
};

/// The entries of a manifest that passed the shape check; the input of all further checks.
pub(crate) struct SpannedManifest<'a> {
    pub(crate) group: Option<String>,
    pub(crate) identity: Option<SpannedEntry<'a, CallerIdentity>>,
    pub(crate) store: Option<SpannedEntry<'a, StoreLimits>>,
    pub(crate) ranks: SectionEntries<'a, RankSpec>,
    pub(crate) centres: SectionEntries<'a, CentreSpec>,
    pub(crate) links: SectionEntries<'a, LinkSpec>,
    pub(crate) callers: SectionEntries<'a, CallerSpec>,
    pub(crate) upstreams: SectionEntries<'a, UpstreamSpec>,
    pub(crate) models: SectionEntries<'a, ModelSpec>,
    pub(crate) adapters: SectionEntries<'a, AdapterSpec>,
    pub(crate) services: SectionEntries<'a, ServiceSpec>,
}

impl<'a> SpannedManifest<'a> {
    /// Reads all sections and records the faults of their shape.
    pub(crate) fn read(root: &'a toml::de::DeTable<'a>, faults: &mut FaultList<'_>) -> Self {
        let mut shape = ShapeCheck::new(root, faults);
        shape.check_sections();
        Self {
            group: shape.group(),
            identity: shape.single(&IDENTITY),
            store: shape.single(&STORE),
            ranks: shape.listed(&RANK),
            centres: shape.listed(&CENTRE),
            links: shape.listed(&LINK),
            callers: shape.listed(&CALLER),
            upstreams: shape.listed(&UPSTREAM),
            models: shape.listed(&MODEL),
            adapters: shape.listed(&ADAPTER),
            services: shape.listed(&SERVICE),
        }
    }

    /// The manifest without its spans.
    pub(crate) fn into_manifest(self) -> DeploymentManifest {
        DeploymentManifest {
            group: self.group.unwrap_or_default(),
            identity: self.identity.map(|entry| entry.spec).unwrap_or_default(),
            store: self.store.map(|entry| entry.spec).unwrap_or_default(),
            ranks: into_specs(self.ranks),
            centres: into_specs(self.centres),
            links: into_specs(self.links),
            callers: into_specs(self.callers),
            upstreams: into_specs(self.upstreams),
            models: into_specs(self.models),
            adapters: into_specs(self.adapters),
            services: into_specs(self.services),
        }
    }
}

fn into_specs<T>(section: SectionEntries<'_, T>) -> Vec<T> {
    section.entries.into_iter().map(|entry| entry.spec).collect()
}
