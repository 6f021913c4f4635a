//! Checks that names are unique and that every referenced name is defined.

use std::collections::HashSet;

use crate::fault_list::FaultList;
use crate::shape_check::SectionEntries;
use crate::spanned_entry::SpannedTable;
use crate::spanned_manifest::SpannedManifest;

/// Checks the names of one manifest.
pub(crate) struct NameCheck<'a, 'f, 's> {
    manifest: &'a SpannedManifest<'a>,
    faults: &'f mut FaultList<'s>,
}

/// The names that a section defines.
struct DefinedNames<'a> {
    /// The kind of the section's entries, for example `model`.
    kind: &'static str,
    names: HashSet<&'a str>,
    /// The same names in the order of the manifest, so that suggestions are deterministic.
    ordered: Vec<&'a str>,
}

impl<'a> DefinedNames<'a> {
    fn of<T>(kind: &'static str, section: &'a SectionEntries<'_, T>) -> Self {
        let ordered: Vec<_> = section.names().collect();
        Self { kind, names: ordered.iter().copied().collect(), ordered }
    }
}

impl<'a, 'f, 's> NameCheck<'a, 'f, 's> {
    pub(crate) fn new(manifest: &'a SpannedManifest<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { manifest, faults }
    }

    pub(crate) fn run(&mut self) {
        self.check_unique();
        self.check_references();
    }

    fn check_unique(&mut self) {
        let manifest = self.manifest;
        self.check_section("rank", &manifest.ranks.tables);
        self.check_section("data centre", &manifest.centres.tables);
        self.check_section("caller", &manifest.callers.tables);
        self.check_section("upstream", &manifest.upstreams.tables);
        self.check_section("model", &manifest.models.tables);
        self.check_section("adapter", &manifest.adapters.tables);
        self.check_section("service", &manifest.services.tables);
    }

    fn check_section(&mut self, kind: &str, tables: &[SpannedTable<'_>]) {
        let mut seen = HashSet::new();
        for table in tables {
            let Some(name) = table.string("name") else { continue };
            if !seen.insert(name) {
                let problem = format!("a second {kind} is named `{name}`");
                self.faults.add(table.value_span("name"), problem, "rename or remove one of them");
            }
        }
    }

    fn check_references(&mut self) {
        let manifest = self.manifest;
        let ranks = DefinedNames::of("rank", &manifest.ranks);
        let centres = DefinedNames::of("data centre", &manifest.centres);
        let callers = DefinedNames::of("caller", &manifest.callers);
        let models = DefinedNames::of("model", &manifest.models);
        let adapters = DefinedNames::of("adapter", &manifest.adapters);
        let services = DefinedNames::of("service", &manifest.services);
        for table in &manifest.links.tables {
            self.check_reference_list(table, "between", &centres);
        }
        for table in &manifest.upstreams.tables {
            self.check_reference(table, "data_centre", &centres);
            self.check_reference_list(table, "services", &services);
        }
        for table in &manifest.adapters.tables {
            self.check_reference(table, "model", &models);
        }
        for table in &manifest.services.tables {
            self.check_reference(table, "rank", &ranks);
            self.check_reference_list(table, "callers", &callers);
            self.check_reference_list(table, "models", &models);
            self.check_reference_list(table, "adapters", &adapters);
            self.check_reference_list(table, "depends_on", &services);
        }
    }

    fn check_reference(&mut self, table: &SpannedTable<'_>, key: &str, defined: &DefinedNames<'_>) {
        if let Some(name) = table.string(key) {
            self.check_defined(name, table.value_span(key), defined);
        }
    }

    fn check_reference_list(
        &mut self,
        table: &SpannedTable<'_>,
        key: &str,
        defined: &DefinedNames<'_>,
    ) {
        let items = table.table.get(key).and_then(|value| value.get_ref().as_array());
        let mut seen = HashSet::new();
        for item in items.into_iter().flat_map(|items| items.iter()) {
            let Some(name) = item.get_ref().as_str() else { continue };
            self.check_defined(name, item.span(), defined);
            if !seen.insert(name) {
                let problem = format!("`{name}` is listed twice in `{key}`");
                self.faults.add(item.span(), problem, "leave it out here");
            }
        }
    }

    fn check_defined(
        &mut self,
        name: &str,
        span: std::ops::Range<usize>,
        defined: &DefinedNames<'_>,
    ) {
        if defined.names.contains(name) {
            return;
        }
        let kind = defined.kind;
        let otherwise = format!("define a {kind} of that name or leave it out");
        let remedy = self.faults.suggest(name, defined.ordered.iter().copied(), otherwise);
        self.faults.add(span, format!("no {kind} is named `{name}`"), remedy);
    }
}
