//! Checks that the path prefixes of plain services are well formed and don't overlap.

use std::collections::BTreeMap;

use crate::ServiceSpec;
use crate::fault_list::FaultList;
use crate::spanned_entry::SpannedEntry;
use crate::spanned_manifest::SpannedManifest;

/// Longest path prefix, in bytes.
pub(crate) const MAX_PREFIX_BYTES: usize = 128;

/// Paths that instances serve themselves.
const RESERVED_PATHS: [&str; 5] = ["/v1", "/admin", "/healthz", "/readyz", "/metrics"];

/// Checks the path prefixes of one manifest.
pub(crate) struct PathCheck<'a, 'f, 's> {
    manifest: &'a SpannedManifest<'a>,
    faults: &'f mut FaultList<'s>,
}

impl<'a, 'f, 's> PathCheck<'a, 'f, 's> {
    pub(crate) fn new(manifest: &'a SpannedManifest<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { manifest, faults }
    }

    pub(crate) fn run(&mut self) {
        let mut prefixes = BTreeMap::new();
        for entry in &self.manifest.services.entries {
            let Some(prefix) = &entry.spec.path_prefix else { continue };
            if self.check_form(entry, prefix) {
                self.check_overlap(entry, prefix, &prefixes);
                prefixes.insert(prefix.as_str(), &entry.spec);
            }
        }
    }

    fn check_form(&mut self, entry: &SpannedEntry<'_, ServiceSpec>, prefix: &str) -> bool {
        let span = entry.spans.value_span("path_prefix");
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

    fn check_overlap(
        &mut self,
        entry: &SpannedEntry<'_, ServiceSpec>,
        prefix: &str,
        prefixes: &BTreeMap<&str, &ServiceSpec>,
    ) {
        // Longer paths that begin with `prefix` follow it in the sorted map; shorter ones are its
        // ancestors.
        let longer = prefixes.range(prefix..).take_while(|(other, _)| other.starts_with(prefix));
        let longer = longer.map(|(other, spec)| (*other, &spec.name));
        let ancestors = prefix.match_indices('/').map(|(end, _)| &prefix[..end]);
        let shorter =
            ancestors.filter_map(|ancestor| Some((ancestor, &prefixes.get(ancestor)?.name)));
        let clash = longer.chain(shorter).find(|(other, _)| overlap(other, prefix));
        if let Some((other, service)) = clash {
            let problem = format!("`{prefix}` overlaps with `{other}` of service `{service}`");
            let span = entry.spans.value_span("path_prefix");
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

/// Whether the paths are equal or one lies below the other.
fn overlap(one: &str, other: &str) -> bool {
    let below = |path: &str, top: &str| {
        path.strip_prefix(top).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    below(one, other) || below(other, one)
}
