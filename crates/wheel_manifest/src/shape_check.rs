//! Checks that sections and keys are known and that values have the right type.

use std::net::SocketAddr;
use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeArray, DeInteger, DeTable, DeValue};

use crate::fault_list::FaultList;
use crate::field_rule::{
    FieldKind, FieldRule, GROUP, LISTED_SECTIONS, SINGLE_SECTIONS, SectionRule,
};
use crate::near_name::near_name;
use crate::spanned_entry::{SpannedEntry, SpannedTable};

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Checks the sections, keys and value types of one manifest.
pub(crate) struct ShapeCheck<'a, 'f, 's> {
    root: &'a DeTable<'a>,
    faults: &'f mut FaultList<'s>,
}

/// The entries of one section.
pub(crate) struct SectionEntries<'a, T> {
    /// Those that are well formed, in the order of the manifest.
    pub(crate) entries: Vec<SpannedEntry<'a, T>>,
    /// All of them, with or without faults.
    pub(crate) tables: Vec<SpannedTable<'a>>,
}

impl<T> SectionEntries<'_, T> {
    /// Whether every entry is well formed.
    pub(crate) fn is_complete(&self) -> bool {
        self.entries.len() == self.tables.len()
    }

    /// The names of all entries, with or without faults.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.tables.iter().filter_map(|table| table.string("name"))
    }
}

impl<'a, 'f, 's> ShapeCheck<'a, 'f, 's> {
    pub(crate) fn new(root: &'a DeTable<'a>, faults: &'f mut FaultList<'s>) -> Self {
        Self { root, faults }
    }

    /// Reports unknown sections.
    pub(crate) fn check_sections(&mut self) {
        let single = SINGLE_SECTIONS.iter().map(|rule| rule.key);
        let listed = LISTED_SECTIONS.iter().map(|rule| rule.key);
        let known: Vec<_> = std::iter::once(GROUP.key).chain(single).chain(listed).collect();
        for key in self.root.keys().filter(|key| !known.contains(&&**key.get_ref())) {
            let name = key.get_ref();
            let otherwise = format!("leave it out; known are {}", known.join(", "));
            let remedy = self.faults.suggest(name, known.iter().copied(), otherwise);
            self.faults.add(key.span(), format!("unknown section or key `{name}`"), remedy);
        }
    }

    /// The group's name, if it is present and valid.
    pub(crate) fn group(&mut self) -> Option<String> {
        let Some(value) = self.root.get(GROUP.key) else {
            self.faults.add(0..0, "the group has no name", "begin with `group = \"NAME\"`");
            return None;
        };
        let valid = self.check_value(&GROUP, value);
        value.get_ref().as_str().filter(|_| valid).map(str::to_owned)
    }

    /// A section that is a single table; none if it is missing or has faults.
    pub(crate) fn single<T: DeserializeOwned>(
        &mut self,
        rule: &SectionRule,
    ) -> Option<SpannedEntry<'a, T>> {
        let value = self.root.get(rule.key)?;
        let Some(spans) = SpannedTable::new(value) else {
            let remedy = format!("write it as `[{}]`", rule.key);
            self.faults.add(value.span(), format!("`{}` isn't a table", rule.key), remedy);
            return None;
        };
        self.entry(rule, spans)
    }

    /// A section that is an array of tables.
    pub(crate) fn listed<T: DeserializeOwned>(
        &mut self,
        rule: &SectionRule,
    ) -> SectionEntries<'a, T> {
        let mut section = SectionEntries { entries: Vec::new(), tables: Vec::new() };
        for value in self.items(rule) {
            let Some(spans) = SpannedTable::new(value) else {
                self.add_section_fault(rule, value.span());
                continue;
            };
            section.tables.push(spans);
            section.entries.extend(self.entry(rule, spans));
        }
        section
    }

    fn items(&mut self, rule: &SectionRule) -> &'a [Spanned<DeValue<'a>>] {
        match self.root.get(rule.key).map(|value| (value.get_ref(), value.span())) {
            None => &[],
            Some((DeValue::Array(items), _)) => items,
            Some((_, span)) => {
                self.add_section_fault(rule, span);
                &[]
            }
        }
    }

    fn add_section_fault(&mut self, rule: &SectionRule, span: Range<usize>) {
        let remedy = format!("write each entry as `[[{}]]`", rule.key);
        self.faults.add(span, format!("`{}` isn't a list of tables", rule.key), remedy);
    }

    fn entry<T: DeserializeOwned>(
        &mut self,
        rule: &SectionRule,
        spans: SpannedTable<'a>,
    ) -> Option<SpannedEntry<'a, T>> {
        if self.check_fields(rule, &spans) { SpannedEntry::read(spans, self.faults) } else { None }
    }

    fn check_fields(&mut self, rule: &SectionRule, spans: &SpannedTable<'a>) -> bool {
        let mut valid = true;
        for (key, value) in spans.table {
            match rule.fields.iter().find(|field| field.key == key.get_ref()) {
                Some(field) => valid &= self.check_value(field, value),
                None => {
                    valid = false;
                    self.add_key_fault(rule, key);
                }
            }
        }
        for field in rule.fields.iter().filter(|field| field.required) {
            if !spans.table.contains_key(field.key) {
                valid = false;
                let problem = format!("`{}` is missing in this `{}`", field.key, rule.key);
                self.faults.add(spans.span(), problem, format!("add `{} = ...`", field.key));
            }
        }
        valid
    }

    fn add_key_fault(&mut self, rule: &SectionRule, key: &Spanned<std::borrow::Cow<'_, str>>) {
        let name = key.get_ref();
        let known = rule.fields.iter().map(|field| field.key);
        let list = known.clone().collect::<Vec<_>>().join(", ");
        let otherwise = format!("leave it out; `{}` knows {list}", rule.key);
        let remedy = self.faults.suggest(name, known, otherwise);
        self.faults.add(key.span(), format!("unknown key `{name}` in `{}`", rule.key), remedy);
    }

    fn check_value(&mut self, field: &FieldRule, value: &Spanned<DeValue<'_>>) -> bool {
        let fault = match (field.kind, value.get_ref()) {
            (FieldKind::Names, DeValue::Array(items)) => return self.check_names(items, false),
            (FieldKind::ModelNames, DeValue::Array(items)) => return self.check_names(items, true),
            (kind, value) => find_fault(kind, value),
        };
        let Some((problem, remedy)) = fault else { return true };
        self.faults.add(value.span(), format!("`{}` {problem}", field.key), remedy);
        false
    }

    fn check_names(&mut self, items: &DeArray<'_>, allow_slash: bool) -> bool {
        let mut valid = true;
        for item in items {
            let fault = match item.get_ref() {
                DeValue::String(name) => find_name_fault(name, allow_slash),
                other => Some(wrong_type(other, "a string")),
            };
            if let Some((problem, remedy)) = fault {
                valid = false;
                self.faults.add(item.span(), format!("this name {problem}"), remedy);
            }
        }
        valid
    }
}

/// The problem with a value and its remedy.
fn find_fault(kind: FieldKind, value: &DeValue<'_>) -> Option<(String, String)> {
    match (kind, value) {
        (FieldKind::Name, DeValue::String(name)) => find_name_fault(name, false),
        (FieldKind::ModelName, DeValue::String(name)) => find_name_fault(name, true),
        (FieldKind::Text, DeValue::String(_)) | (FieldKind::Flag, DeValue::Boolean(_)) => None,
        (FieldKind::Address, DeValue::String(address)) => find_address_fault(address),
        (FieldKind::Choice(choices), DeValue::String(chosen)) => {
            let known = choices.contains(&&**chosen);
            (!known).then(|| choice_fault(chosen, choices))
        }
        (FieldKind::Count(maximum), DeValue::Integer(count)) => find_count_fault(count, maximum),
        (FieldKind::Number, DeValue::Integer(_)) => None,
        (FieldKind::Number, DeValue::Float(number)) => {
            let finite = number.as_str().parse().is_ok_and(f64::is_finite);
            (!finite).then(|| ("isn't finite".to_owned(), "write a finite number".to_owned()))
        }
        (kind, other) => Some(wrong_type(other, expected_type(kind))),
    }
}

fn find_name_fault(name: &str, allow_slash: bool) -> Option<(String, String)> {
    let allowed =
        |c: char| c.is_ascii_alphanumeric() || ".-_".contains(c) || allow_slash && c == '/';
    let remedy = || {
        let slash = if allow_slash { " and `/`" } else { "" };
        format!(
            "use 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, `.`, `_`, `-`{slash}, first a letter or digit"
        )
    };
    let problem = match name.chars().next() {
        None => "is empty".to_owned(),
        Some(_) if name.len() > MAX_NAME_BYTES => format!("has {} bytes", name.len()),
        Some(first) if !first.is_ascii_alphanumeric() => format!("begins with {first:?}"),
        Some(_) => match name.chars().find(|c| !allowed(*c)) {
            Some(invalid) => format!("has {invalid:?} in it"),
            None => return None,
        },
    };
    Some((problem, remedy()))
}

fn find_address_fault(address: &str) -> Option<(String, String)> {
    let remedy = "write an IP address and a port, for example `\"10.0.0.7:8000\"`".to_owned();
    match address.parse::<SocketAddr>() {
        Err(_) => Some(("isn't an IP address with a port".to_owned(), remedy)),
        Ok(address) if address.port() == 0 => Some(("has port 0".to_owned(), remedy)),
        Ok(_) => None,
    }
}

fn find_count_fault(count: &DeInteger<'_>, maximum: u64) -> Option<(String, String)> {
    let value = u64::from_str_radix(count.as_str(), count.radix());
    let valid = value.is_ok_and(|value| value <= maximum);
    (!valid).then(|| ("is out of range".to_owned(), format!("write a number from 0 to {maximum}")))
}

fn choice_fault(chosen: &str, choices: &[&'static str]) -> (String, String) {
    let otherwise = format!("write one of {}", choices.join(", "));
    let near = near_name(chosen, choices.iter().copied());
    let remedy = near.map_or(otherwise, |near| format!("write `{near}` if that is meant"));
    (format!("is `{chosen}`"), remedy)
}

fn wrong_type(value: &DeValue<'_>, expected: &str) -> (String, String) {
    (format!("is of type {}", value.type_str()), format!("write {expected}"))
}

fn expected_type(kind: FieldKind) -> &'static str {
    match kind {
        FieldKind::Name | FieldKind::ModelName | FieldKind::Text | FieldKind::Choice(_) => {
            "a string"
        }
        FieldKind::Address => "an IP address and a port as a string",
        FieldKind::Count(_) => "an integer that isn't negative",
        FieldKind::Number => "a number",
        FieldKind::Flag => "`true` or `false`",
        FieldKind::Names | FieldKind::ModelNames => "an array of strings",
    }
}
