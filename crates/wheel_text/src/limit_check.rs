//! Whether numbers and counts are within their limits.

use std::collections::{HashMap, HashSet};

use wheel_types::RequestRank;

use crate::fault_list::FaultList;
use crate::placed_entry::{PlacedEntry, PlacedTable};
use crate::placed_text::PlacedText;
use crate::{
    AdapterSpec, CentreSpec, LinkSpec, ModelSpec, RankSpec, StoreLimits, UpstreamKind, UpstreamSpec,
};

/// Most instances that grant the lease of a data centre.
pub const MAX_GRANTORS: usize = 5;

/// The sum that the floors of all ranks may have, in percent.
const MAX_FLOOR_SUM: u64 = 100;

/// Checks the numbers of one text.
pub(crate) struct LimitCheck<'a, 'f, 's> {
    text: &'a PlacedText<'a>,
    faults: &'f mut FaultList<'s>,
}

impl<'a, 'f, 's> LimitCheck<'a, 'f, 's> {
    pub(crate) fn new(text: &'a PlacedText<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { text, faults }
    }

    pub(crate) fn run(&mut self) {
        let text = self.text;
        self.check_ranks();
        self.check_centres();
        text.store.iter().for_each(|entry| self.check_store(entry));
        text.ranks.entries.iter().for_each(|entry| self.check_rank(entry));
        text.centres.entries.iter().for_each(|entry| self.check_centre(entry));
        self.check_links();
        text.upstreams.entries.iter().for_each(|entry| self.check_upstream(entry));
        text.models.entries.iter().for_each(|entry| self.check_model(entry));
        text.adapters.entries.iter().for_each(|entry| self.check_adapter(entry));
        for entry in &text.callers.entries {
            self.check_positive(&entry.places, "weight", u64::from(entry.spec.weight));
        }
    }

    fn check_ranks(&mut self) {
        let tables = &self.text.ranks.tables;
        if tables.is_empty() {
            let remedy = "add a `[[rank]]` with `name` and `deadline_ms`";
            self.faults.add(0..0, "there is no rank", remedy);
        }
        if let Some(table) = tables.get(RequestRank::MAX_RANKS) {
            let problem = format!("more than {} ranks", RequestRank::MAX_RANKS);
            self.faults.add(table.place(), problem, "leave ranks out from here");
        }
        let mut sum = 0;
        for entry in &self.text.ranks.entries {
            let before = sum;
            sum += u64::from(entry.spec.floor_percent);
            if before <= MAX_FLOOR_SUM && sum > MAX_FLOOR_SUM {
                let problem = format!("the floors up to here sum to {sum} percent");
                let span = entry.places.value_place("floor_percent");
                self.faults.add(span, problem, "lower floors to 100 percent in all");
            }
        }
    }

    fn check_centres(&mut self) {
        if self.text.centres.tables.is_empty() {
            let remedy = "add a `[[data_centre]]` with `name`, `region` and `grantors`";
            self.faults.add(0..0, "there is no data centre", remedy);
        }
        let mut grants = HashMap::new();
        for entry in &self.text.centres.entries {
            for (index, grantor) in entry.spec.grantors.iter().enumerate() {
                let Some(other) = grants.insert(grantor, &entry.spec.name) else { continue };
                let problem = format!("`{grantor}` grants the lease of `{other}` already");
                let span = entry.places.item_place("grantors", index);
                self.faults.add(span, problem, "name each instance once, at its own data centre");
            }
        }
    }

    fn check_store(&mut self, entry: &PlacedEntry<'_, StoreLimits>) {
        let StoreLimits { loads_per_second, full_speed_loads, adapter_loads } = &entry.spec;
        self.check_above_zero(&entry.places, "loads_per_second", *loads_per_second);
        self.check_positive(&entry.places, "full_speed_loads", u64::from(*full_speed_loads));
        self.check_positive(&entry.places, "adapter_loads", u64::from(*adapter_loads));
    }

    fn check_rank(&mut self, entry: &PlacedEntry<'_, RankSpec>) {
        self.check_positive(&entry.places, "deadline_ms", entry.spec.deadline_ms);
        self.check_above_zero(&entry.places, "worth", entry.spec.worth);
    }

    fn check_centre(&mut self, entry: &PlacedEntry<'_, CentreSpec>) {
        let grantors = entry.spec.grantors.len();
        if !(1..=MAX_GRANTORS).contains(&grantors) {
            let problem = format!("`grantors` names {grantors} instances");
            let remedy = format!("name 1 to {MAX_GRANTORS} instances of this data centre");
            self.faults.add(entry.places.value_place("grantors"), problem, remedy);
        }
    }

    fn check_links(&mut self) {
        let mut seen = HashSet::new();
        for entry in &self.text.links.entries {
            self.check_link(entry);
            let [one, other] = &entry.spec.between;
            if !seen.insert([one.min(other), one.max(other)]) {
                let problem = format!("a second link between `{one}` and `{other}`");
                let span = entry.places.value_place("between");
                self.faults.add(span, problem, "remove one of them");
            }
        }
    }

    fn check_link(&mut self, entry: &PlacedEntry<'_, LinkSpec>) {
        for (key, number) in [("delay_ms", entry.spec.delay_ms), ("price", entry.spec.price)] {
            if number < 0.0 {
                let span = entry.places.value_place(key);
                self.faults.add(span, format!("`{key}` is negative"), "write 0 or more");
            }
        }
        let [one, other] = &entry.spec.between;
        if one == other {
            let span = entry.places.value_place("between");
            self.faults.add(span, format!("a link from `{one}` to itself"), "name two others");
        }
    }

    fn check_upstream(&mut self, entry: &PlacedEntry<'_, UpstreamSpec>) {
        self.check_positive(&entry.places, "slots", u64::from(entry.spec.slots));
        if entry.spec.kind == UpstreamKind::Engine {
            let accelerators = u64::from(entry.spec.accelerators);
            self.check_positive(&entry.places, "memory_mib", entry.spec.memory_mib);
            self.check_positive(&entry.places, "accelerators", accelerators);
        }
    }

    fn check_model(&mut self, entry: &PlacedEntry<'_, ModelSpec>) {
        let spec = &entry.spec;
        self.check_positive(&entry.places, "version", u64::from(spec.version));
        self.check_positive(&entry.places, "memory_mib", spec.memory_mib);
        self.check_positive(&entry.places, "load_ms", spec.load_ms);
        self.check_positive(&entry.places, "max_replicas", u64::from(spec.max_replicas));
        if spec.min_replicas > spec.max_replicas {
            let (min, max) = (spec.min_replicas, spec.max_replicas);
            let problem = format!("`min_replicas` {min} is over `max_replicas` {max}");
            let remedy = "lower `min_replicas` or raise `max_replicas`";
            self.faults.add(entry.places.value_place("min_replicas"), problem, remedy);
        }
    }

    fn check_adapter(&mut self, entry: &PlacedEntry<'_, AdapterSpec>) {
        self.check_positive(&entry.places, "memory_mib", entry.spec.memory_mib);
    }

    fn check_positive(&mut self, places: &PlacedTable<'_>, key: &str, count: u64) {
        if count == 0 {
            self.faults.add(places.value_place(key), format!("`{key}` is 0"), "write 1 or more");
        }
    }

    fn check_above_zero(&mut self, places: &PlacedTable<'_>, key: &str, number: f64) {
        if number <= 0.0 {
            let problem = format!("`{key}` isn't above 0");
            self.faults.add(places.value_place(key), problem, "write a number above 0");
        }
    }
}
