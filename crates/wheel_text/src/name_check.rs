//! Whether names are unique and every name that is used is defined.

use std::collections::HashSet;

use crate::fault_list::FaultList;
use crate::placed_entry::PlacedTable;
use crate::placed_text::PlacedText;
use crate::shape_check::SectionEntries;

/// Checks the names of one text.
pub(crate) struct NameCheck<'a, 'f, 's> {
    text: &'a PlacedText<'a>,
    faults: &'f mut FaultList<'s>,
}

/// The names that a section defines.
struct DefinedNames<'a> {
    /// What the section's entries are, for example `model`.
    what: &'static str,
    names: HashSet<&'a str>,
    /// The same in the order of the text, so that suggestions are always the same.
    ordered: Vec<&'a str>,
}

impl<'a> DefinedNames<'a> {
    fn of<T>(what: &'static str, section: &'a SectionEntries<'_, T>) -> Self {
        let ordered: Vec<_> = section.names().collect();
        Self { what, names: ordered.iter().copied().collect(), ordered }
    }
}

impl<'a, 'f, 's> NameCheck<'a, 'f, 's> {
    pub(crate) fn new(text: &'a PlacedText<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { text, faults }
    }

    pub(crate) fn run(&mut self) {
        self.check_unique();
        self.check_uses();
    }

    fn check_unique(&mut self) {
        let text = self.text;
        self.check_section("rank", &text.ranks.tables);
        self.check_section("data centre", &text.centres.tables);
        self.check_section("caller", &text.callers.tables);
        self.check_section("upstream", &text.upstreams.tables);
        self.check_section("model", &text.models.tables);
        self.check_section("adapter", &text.adapters.tables);
        self.check_section("service", &text.services.tables);
    }

    fn check_section(&mut self, what: &str, tables: &[PlacedTable<'_>]) {
        let mut seen = HashSet::new();
        for table in tables {
            let Some(name) = table.string("name") else { continue };
            if !seen.insert(name) {
                let problem = format!("a second {what} is named `{name}`");
                self.faults.add(table.value_place("name"), problem, "rename or remove one of them");
            }
        }
    }

    fn check_uses(&mut self) {
        let text = self.text;
        let ranks = DefinedNames::of("rank", &text.ranks);
        let centres = DefinedNames::of("data centre", &text.centres);
        let callers = DefinedNames::of("caller", &text.callers);
        let models = DefinedNames::of("model", &text.models);
        let adapters = DefinedNames::of("adapter", &text.adapters);
        let services = DefinedNames::of("service", &text.services);
        for table in &text.links.tables {
            self.check_list(table, "between", &centres);
        }
        for table in &text.upstreams.tables {
            self.check_use(table, "data_centre", &centres);
            self.check_list(table, "services", &services);
        }
        for table in &text.adapters.tables {
            self.check_use(table, "model", &models);
        }
        for table in &text.services.tables {
            self.check_use(table, "rank", &ranks);
            self.check_list(table, "callers", &callers);
            self.check_list(table, "models", &models);
            self.check_list(table, "adapters", &adapters);
            self.check_list(table, "depends_on", &services);
        }
    }

    fn check_use(&mut self, table: &PlacedTable<'_>, key: &str, defined: &DefinedNames<'_>) {
        if let Some(name) = table.string(key) {
            self.check_defined(name, table.value_place(key), defined);
        }
    }

    fn check_list(&mut self, table: &PlacedTable<'_>, key: &str, defined: &DefinedNames<'_>) {
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
        let what = defined.what;
        let otherwise = format!("define a {what} of that name or leave it out");
        let remedy = self.faults.suggest(name, defined.ordered.iter().copied(), otherwise);
        self.faults.add(span, format!("no {what} is named `{name}`"), remedy);
    }
}
