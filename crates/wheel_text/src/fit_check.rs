//! Whether models and adapters fit the engines.

use std::collections::HashMap;

use wheel_types::CentreName;

use crate::fault_list::FaultList;
use crate::placed_entry::PlacedEntry;
use crate::placed_text::PlacedText;
use crate::{AdapterSpec, ModelSpec, UpstreamKind};

/// Checks the memory that a text needs.
pub(crate) struct FitCheck<'a, 'f, 's> {
    text: &'a PlacedText<'a>,
    faults: &'f mut FaultList<'s>,
    largest_mib: u64,
}

impl<'a, 'f, 's> FitCheck<'a, 'f, 's> {
    pub(crate) fn new(text: &'a PlacedText<'a>, faults: &'f mut FaultList<'s>) -> Self {
        let engines = text.upstreams.entries.iter().map(|entry| &entry.spec);
        let engines = engines.filter(|spec| spec.kind == UpstreamKind::Engine);
        let largest_mib = engines.map(|spec| spec.memory_mib).max().unwrap_or_default();
        Self { text, faults, largest_mib }
    }

    /// Runs only when all upstreams are well formed, for a faulty engine might be large enough.
    pub(crate) fn run(&mut self) {
        if !self.text.upstreams.is_whole() {
            return;
        }
        let models = &self.text.models.entries;
        models.iter().for_each(|entry| self.check_model(entry));
        let sizes: HashMap<_, _> =
            models.iter().map(|entry| (&entry.spec.name, entry.spec.memory_mib)).collect();
        for entry in &self.text.adapters.entries {
            if let Some(model_mib) = sizes.get(&entry.spec.model) {
                self.check_adapter(entry, *model_mib);
            }
        }
        self.check_always_loaded();
    }

    fn check_model(&mut self, entry: &PlacedEntry<'_, ModelSpec>) {
        let ModelSpec { name, memory_mib, .. } = &entry.spec;
        if *memory_mib > self.largest_mib {
            let problem = format!("model `{name}` fits no engine: {}", self.sizes(*memory_mib));
            let remedy = "add an engine that is large enough or leave the model out";
            self.faults.add(entry.places.value_place("memory_mib"), problem, remedy);
        }
    }

    fn check_adapter(&mut self, entry: &PlacedEntry<'_, AdapterSpec>, model_mib: u64) {
        let AdapterSpec { name, model, memory_mib } = &entry.spec;
        let both_mib = memory_mib.saturating_add(model_mib);
        if model_mib <= self.largest_mib && both_mib > self.largest_mib {
            let sizes = self.sizes(both_mib);
            let problem = format!("adapter `{name}` fits no engine beside `{model}`: {sizes}");
            let remedy = "add an engine that is large enough or leave the adapter out";
            self.faults.add(entry.places.value_place("memory_mib"), problem, remedy);
        }
    }

    fn sizes(&self, needed_mib: u64) -> String {
        format!("{needed_mib} MiB, and the largest engine has {} MiB", self.largest_mib)
    }

    /// Replicas that are always loaded must fit into each data centre that has engines.
    fn check_always_loaded(&mut self) {
        let mut rooms: HashMap<&CentreName, u64> = HashMap::new();
        for entry in &self.text.upstreams.entries {
            if entry.spec.kind == UpstreamKind::Engine {
                let room = rooms.entry(&entry.spec.data_centre).or_default();
                *room = room.saturating_add(entry.spec.memory_mib);
            }
        }
        let smallest = rooms.iter().min_by_key(|(name, room)| (**room, **name));
        let Some((centre, room)) = smallest else { return };
        let mut sum = 0_u64;
        for entry in &self.text.models.entries {
            let ModelSpec { memory_mib, min_replicas, .. } = entry.spec;
            let before = sum;
            sum = sum.saturating_add(memory_mib.saturating_mul(u64::from(min_replicas)));
            if before <= *room && sum > *room {
                let problem = format!(
                    "replicas that are always loaded need {sum} MiB up to here, and `{centre}` has {room} MiB"
                );
                let span = entry.places.value_place("min_replicas");
                self.faults.add(span, problem, "lower `min_replicas` of some models");
            }
        }
    }
}
