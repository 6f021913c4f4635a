//! Checks that numbers and counts are within their limits.

use std::collections::{HashMap, HashSet};

use wheel_types::RequestRank;

use crate::fault_list::FaultList;
use crate::spanned_entry::{SpannedEntry, SpannedTable};
use crate::spanned_manifest::SpannedManifest;
use crate::{
    AdapterSpec, CentreSpec, LinkSpec, ModelSpec, RankSpec, StoreLimits, UpstreamKind, UpstreamSpec,
};

/// Largest number of instances that grant the lease of a data centre.
pub const MAX_GRANTORS: usize = 5;

/// Largest sum of the floors of all ranks, in percent.
const MAX_FLOOR_SUM: u64 = 100;

/// Checks the numbers of one manifest.
pub(crate) struct LimitCheck<'a, 'f, 's> {
    manifest: &'a SpannedManifest<'a>,
    faults: &'f mut FaultList<'s>,
}

impl<'a, 'f, 's> LimitCheck<'a, 'f, 's> {
    pub(crate) fn new(manifest: &'a SpannedManifest<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { manifest, faults }
    }

    pub(crate) fn run(&mut self) {
        let manifest = self.manifest;
        self.check_ranks();
        self.check_centres();
        manifest.store.iter().for_each(|entry| self.check_store(entry));
        manifest.ranks.entries.iter().for_each(|entry| self.check_rank(entry));
        manifest.centres.entries.iter().for_each(|entry| self.check_centre(entry));
        self.check_links();
        manifest.upstreams.entries.iter().for_each(|entry| self.check_upstream(entry));
        manifest.models.entries.iter().for_each(|entry| self.check_model(entry));
        manifest.adapters.entries.iter().for_each(|entry| self.check_adapter(entry));
        for entry in &manifest.callers.entries {
            self.check_positive(&entry.spans, "weight", u64::from(entry.spec.weight));
        }
    }

    fn check_ranks(&mut self) {
        let tables = &self.manifest.ranks.tables;
        if tables.is_empty() {
            let remedy = "add a `[[rank]]` with `name` and `deadline_ms`";
            self.faults.add(0..0, "there is no rank", remedy);
        }
        if let Some(table) = tables.get(RequestRank::MAX_RANKS) {
            let problem = format!("more than {} ranks", RequestRank::MAX_RANKS);
            self.faults.add(table.span(), problem, "leave ranks out from here");
        }
        let mut sum = 0;
        for entry in &self.manifest.ranks.entries {
            let before = sum;
            sum += u64::from(entry.spec.floor_percent);
            if before <= MAX_FLOOR_SUM && sum > MAX_FLOOR_SUM {
                let problem = format!("the floors up to here sum to {sum} percent");
                let span = entry.spans.value_span("floor_percent");
                self.faults.add(span, problem, "lower floors to 100 percent in all");
            }
        }
    }

    fn check_centres(&mut self) {
        if self.manifest.centres.tables.is_empty() {
            let remedy = "add a `[[data_centre]]` with `name`, `region` and `grantors`";
            self.faults.add(0..0, "there is no data centre", remedy);
        }
        let mut grants = HashMap::new();
        for entry in &self.manifest.centres.entries {
            for (index, grantor) in entry.spec.grantors.iter().enumerate() {
                let Some(other) = grants.insert(grantor, &entry.spec.name) else { continue };
                let problem = format!("`{grantor}` grants the lease of `{other}` already");
                let span = entry.spans.item_span("grantors", index);
                self.faults.add(span, problem, "name each instance once, at its own data centre");
            }
        }
    }

    fn check_store(&mut self, entry: &SpannedEntry<'_, StoreLimits>) {
        let StoreLimits { loads_per_second, full_speed_loads, adapter_loads } = &entry.spec;
        self.check_above_zero(&entry.spans, "loads_per_second", *loads_per_second);
        self.check_positive(&entry.spans, "full_speed_loads", u64::from(*full_speed_loads));
        self.check_positive(&entry.spans, "adapter_loads", u64::from(*adapter_loads));
    }

    fn check_rank(&mut self, entry: &SpannedEntry<'_, RankSpec>) {
        self.check_positive(&entry.spans, "deadline_ms", entry.spec.deadline_ms);
        self.check_above_zero(&entry.spans, "worth", entry.spec.worth);
    }

    fn check_centre(&mut self, entry: &SpannedEntry<'_, CentreSpec>) {
        let grantors = entry.spec.grantors.len();
        if !(1..=MAX_GRANTORS).contains(&grantors) {
            let problem = format!("`grantors` names {grantors} instances");
            let remedy = format!("name 1 to {MAX_GRANTORS} instances of this data centre");
            self.faults.add(entry.spans.value_span("grantors"), problem, remedy);
        }
    }

    fn check_links(&mut self) {
        let mut seen = HashSet::new();
        for entry in &self.manifest.links.entries {
            self.check_link(entry);
            let [one, other] = &entry.spec.between;
            if !seen.insert([one.min(other), one.max(other)]) {
                let problem = format!("a second link between `{one}` and `{other}`");
                let span = entry.spans.value_span("between");
                self.faults.add(span, problem, "remove one of them");
            }
        }
    }

    fn check_link(&mut self, entry: &SpannedEntry<'_, LinkSpec>) {
        for (key, number) in [("delay_ms", entry.spec.delay_ms), ("price", entry.spec.price)] {
            if number < 0.0 {
                let span = entry.spans.value_span(key);
                self.faults.add(span, format!("`{key}` is negative"), "write 0 or more");
            }
        }
        let [one, other] = &entry.spec.between;
        if one == other {
            let span = entry.spans.value_span("between");
            self.faults.add(span, format!("a link from `{one}` to itself"), "name two others");
        }
    }

    fn check_upstream(&mut self, entry: &SpannedEntry<'_, UpstreamSpec>) {
        self.check_positive(&entry.spans, "slots", u64::from(entry.spec.slots));
        if entry.spec.kind == UpstreamKind::Engine {
            let accelerators = u64::from(entry.spec.accelerators);
            self.check_positive(&entry.spans, "memory_mib", entry.spec.memory_mib);
            self.check_positive(&entry.spans, "accelerators", accelerators);
        }
    }

    fn check_model(&mut self, entry: &SpannedEntry<'_, ModelSpec>) {
        let spec = &entry.spec;
        self.check_positive(&entry.spans, "version", u64::from(spec.version));
        self.check_positive(&entry.spans, "memory_mib", spec.memory_mib);
        self.check_positive(&entry.spans, "load_ms", spec.load_ms);
        self.check_positive(&entry.spans, "max_replicas", u64::from(spec.max_replicas));
        if spec.min_replicas > spec.max_replicas {
            let (min, max) = (spec.min_replicas, spec.max_replicas);
            let problem = format!("`min_replicas` {min} is over `max_replicas` {max}");
            let remedy = "lower `min_replicas` or raise `max_replicas`";
            self.faults.add(entry.spans.value_span("min_replicas"), problem, remedy);
        }
    }

    fn check_adapter(&mut self, entry: &SpannedEntry<'_, AdapterSpec>) {
        self.check_positive(&entry.spans, "memory_mib", entry.spec.memory_mib);
    }

    fn check_positive(&mut self, spans: &SpannedTable<'_>, key: &str, count: u64) {
        if count == 0 {
            self.faults.add(spans.value_span(key), format!("`{key}` is 0"), "write 1 or more");
        }
    }

    fn check_above_zero(&mut self, spans: &SpannedTable<'_>, key: &str, number: f64) {
        if number <= 0.0 {
            let problem = format!("`{key}` isn't above 0");
            self.faults.add(spans.value_span(key), problem, "write a number above 0");
        }
    }
}
