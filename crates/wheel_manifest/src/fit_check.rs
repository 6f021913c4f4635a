//! Checks whether models and adapters fit into the engines' memory.

use std::collections::HashMap;

use wheel_types::CentreName;

use crate::fault_list::FaultList;
use crate::spanned_entry::SpannedEntry;
use crate::spanned_manifest::SpannedManifest;
use crate::{AdapterSpec, ModelSpec, UpstreamKind};

/// Compares the memory that a manifest's models need with its engines.
pub(crate) struct FitCheck<'a, 'f, 's> {
    manifest: &'a SpannedManifest<'a>,
    faults: &'f mut FaultList<'s>,
    largest_mib: u64,
}

impl<'a, 'f, 's> FitCheck<'a, 'f, 's> {
    pub(crate) fn new(manifest: &'a SpannedManifest<'a>, faults: &'f mut FaultList<'s>) -> Self {
        let engines = manifest.upstreams.entries.iter().map(|entry| &entry.spec);
        let engines = engines.filter(|spec| spec.kind == UpstreamKind::Engine);
        let largest_mib = engines.map(|spec| spec.memory_mib).max().unwrap_or_default();
        Self { manifest, faults, largest_mib }
    }

    /// Runs only when all upstreams are well formed, because a faulty engine might be large enough.
    pub(crate) fn run(&mut self) {
        if !self.manifest.upstreams.is_complete() {
            return;
        }
        let models = &self.manifest.models.entries;
        models.iter().for_each(|entry| self.check_model(entry));
        let sizes: HashMap<_, _> =
            models.iter().map(|entry| (&entry.spec.name, entry.spec.memory_mib)).collect();
        for entry in &self.manifest.adapters.entries {
            if let Some(model_mib) = sizes.get(&entry.spec.model) {
                self.check_adapter(entry, *model_mib);
            }
        }
        self.check_always_loaded();
    }

    fn check_model(&mut self, entry: &SpannedEntry<'_, ModelSpec>) {
        let ModelSpec { name, memory_mib, .. } = &entry.spec;
        if *memory_mib > self.largest_mib {
            let problem = format!("model `{name}` fits no engine: {}", self.sizes(*memory_mib));
            let remedy = "add an engine that is large enough or leave the model out";
            self.faults.add(entry.spans.value_span("memory_mib"), problem, remedy);
        }
    }

    fn check_adapter(&mut self, entry: &SpannedEntry<'_, AdapterSpec>, model_mib: u64) {
        let AdapterSpec { name, model, memory_mib } = &entry.spec;
        let both_mib = memory_mib.saturating_add(model_mib);
        if model_mib <= self.largest_mib && both_mib > self.largest_mib {
            let sizes = self.sizes(both_mib);
            let problem = format!("adapter `{name}` fits no engine beside `{model}`: {sizes}");
            let remedy = "add an engine that is large enough or leave the adapter out";
            self.faults.add(entry.spans.value_span("memory_mib"), problem, remedy);
        }
    }

    fn sizes(&self, needed_mib: u64) -> String {
        format!("{needed_mib} MiB, and the largest engine has {} MiB", self.largest_mib)
    }

    /// Replicas that are always loaded must fit into each data centre that has engines.
    fn check_always_loaded(&mut self) {
        let mut capacities: HashMap<&CentreName, u64> = HashMap::new();
        for entry in &self.manifest.upstreams.entries {
            if entry.spec.kind == UpstreamKind::Engine {
                let capacity = capacities.entry(&entry.spec.data_centre).or_default();
                *capacity = capacity.saturating_add(entry.spec.memory_mib);
            }
        }
        let smallest = capacities.iter().min_by_key(|(name, capacity)| (**capacity, **name));
        let Some((centre, capacity)) = smallest else { return };
        let mut sum = 0_u64;
        for entry in &self.manifest.models.entries {
            let ModelSpec { memory_mib, min_replicas, .. } = entry.spec;
            let before = sum;
            sum = sum.saturating_add(memory_mib.saturating_mul(u64::from(min_replicas)));
            if before <= *capacity && sum > *capacity {
                let problem = format!(
                    "replicas that are always loaded need {sum} MiB up to here, and `{centre}` has {capacity} MiB"
                );
                let span = entry.spans.value_span("min_replicas");
                self.faults.add(span, problem, "lower `min_replicas` of some models");
            }
        }
    }
}
