//! Whether the path prefixes of plain services can be told apart.

use std::collections::BTreeMap;

use crate::ServiceSpec;
use crate::fault_list::FaultList;
use crate::placed_entry::PlacedEntry;
use crate::placed_text::PlacedText;

/// Longest path prefix, in bytes.
pub(crate) const MAX_PREFIX_BYTES: usize = 128;

/// Paths that the instances answer themselves.
const RESERVED_PATHS: [&str; 5] = ["/v1", "/admin", "/healthz", "/readyz", "/metrics"];

/// Checks the path prefixes of one text.
pub(crate) struct PathCheck<'a, 'f, 's> {
    text: &'a PlacedText<'a>,
    faults: &'f mut FaultList<'s>,
}

impl<'a, 'f, 's> PathCheck<'a, 'f, 's> {
    pub(crate) fn new(text: &'a PlacedText<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { text, faults }
    }

    pub(crate) fn run(&mut self) {
        let mut prefixes = BTreeMap::new();
        for entry in &self.text.services.entries {
            let Some(prefix) = &entry.spec.path_prefix else { continue };
            if self.check_form(entry, prefix) {
                self.check_apart(entry, prefix, &prefixes);
                prefixes.insert(prefix.as_str(), &entry.spec);
            }
        }
    }

    fn check_form(&mut self, entry: &PlacedEntry<'_, ServiceSpec>, prefix: &str) -> bool {
        let span = entry.places.value_place("path_prefix");
        if !is_well_formed(prefix) {
            let problem = format!("`{prefix}` isn't a path prefix");
            let remedy =
                "write `/` and names of a-z, A-Z, 0-9, `.`, `_`, `-`, without `/` at the end";
            self.faults.add(span, problem, remedy);
            return false;
        }
        if let Some(reserved) = RESERVED_PATHS.iter().find(|path| overlap(path, prefix)) {
            let problem = format!("`{prefix}` clashes with `{reserved}`, which instances answer");
            self.faults.add(span, problem, "choose another first name");
            return false;
        }
        true
    }

    fn check_apart(
        &mut self,
        entry: &PlacedEntry<'_, ServiceSpec>,
        prefix: &str,
        prefixes: &BTreeMap<&str, &ServiceSpec>,
    ) {
        // All that begin with a prefix follow it in the map; those that it begins with are its cuts.
        let longer = prefixes.range(prefix..).take_while(|(other, _)| other.starts_with(prefix));
        let longer = longer.map(|(other, spec)| (*other, &spec.name));
        let cuts = prefix.match_indices('/').map(|(end, _)| &prefix[..end]);
        let shorter = cuts.filter_map(|cut| Some((cut, &prefixes.get(cut)?.name)));
        let clash = longer.chain(shorter).find(|(other, _)| overlap(other, prefix));
        if let Some((other, service)) = clash {
            let problem = format!("`{prefix}` overlaps with `{other}` of service `{service}`");
            let span = entry.places.value_place("path_prefix");
            self.faults.add(span, problem, "choose prefixes of which none begins another");
        }
    }
}

fn is_well_formed(prefix: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || ".-_".contains(c);
    let is_name =
        |name: &str| !name.is_empty() && name != "." && name != ".." && name.chars().all(allowed);
    prefix.len() <= MAX_PREFIX_BYTES
        && prefix.strip_prefix('/').is_some_and(|names| names.split('/').all(is_name))
}

/// Whether one path is the other or lies below it.
fn overlap(one: &str, other: &str) -> bool {
    let below = |path: &str, top: &str| {
        path.strip_prefix(top).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    below(one, other) || below(other, one)
}
