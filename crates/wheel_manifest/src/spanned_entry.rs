//! An entry of a section with its byte spans in the manifest.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::fault_list::FaultList;

/// The table of one entry with the spans from the TOML parser.
#[derive(Clone, Copy)]
pub(crate) struct SpannedTable<'a> {
    pub(crate) table: &'a DeTable<'a>,
    pub(crate) span: (usize, usize),
}

impl<'a> SpannedTable<'a> {
    pub(crate) fn new(value: &'a Spanned<DeValue<'a>>) -> Option<Self> {
        let table = value.get_ref().as_table()?;
        Some(Self { table, span: (value.span().start, value.span().end) })
    }

    /// The span of the entry.
    pub(crate) fn span(&self) -> Range<usize> {
        self.span.0..self.span.1
    }

    /// The span of a key's value, or of the entry if the key is missing.
    pub(crate) fn value_span(&self, key: &str) -> Range<usize> {
        self.table.get(key).map_or_else(|| self.span(), Spanned::span)
    }

    /// The span of an element of a key's array.
    pub(crate) fn item_span(&self, key: &str, index: usize) -> Range<usize> {
        let item = self.table.get(key).and_then(|value| value.get_ref().get(index));
        item.map_or_else(|| self.value_span(key), Spanned::span)
    }

    /// A key's value, if it is a string.
    pub(crate) fn string(&self, key: &str) -> Option<&'a str> {
        self.table.get(key).and_then(|value| value.get_ref().as_str())
    }
}

/// A well-formed entry: its value and its spans.
pub(crate) struct SpannedEntry<'a, T> {
    pub(crate) spec: T,
    pub(crate) spans: SpannedTable<'a>,
}

impl<'a, T: DeserializeOwned> SpannedEntry<'a, T> {
    /// Reads the value of an entry whose keys were checked.
    pub(crate) fn read(spans: SpannedTable<'a>, faults: &mut FaultList<'_>) -> Option<Self> {
        let value = Spanned::new(spans.span(), DeValue::Table(spans.table.clone()));
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(spec) => Some(Self { spec, spans }),
            Err(error) => {
                let span = error.span().unwrap_or_else(|| spans.span());
                faults.add(span, error.message(), "correct the value");
                None
            }
        }
    }
}
