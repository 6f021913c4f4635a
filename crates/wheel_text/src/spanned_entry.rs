//! A section's entry with its places in the text.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::fault_list::FaultList;

/// The table of one entry, as the TOML library placed it.
#[derive(Clone, Copy)]
pub(crate) struct PlacedTable<'a> {
    pub(crate) table: &'a DeTable<'a>,
    pub(crate) span: (usize, usize),
}

impl<'a> PlacedTable<'a> {
    pub(crate) fn new(value: &'a Spanned<DeValue<'a>>) -> Option<Self> {
        let table = value.get_ref().as_table()?;
        Some(Self { table, span: (value.span().start, value.span().end) })
    }

    /// The place of the entry.
    pub(crate) fn place(&self) -> Range<usize> {
        self.span.0..self.span.1
    }

    /// The place of a key's value, or of the entry if it lacks the key.
    pub(crate) fn value_place(&self, key: &str) -> Range<usize> {
        self.table.get(key).map_or_else(|| self.place(), Spanned::span)
    }

    /// The place of an element of a key's array.
    pub(crate) fn item_place(&self, key: &str, index: usize) -> Range<usize> {
        let item = self.table.get(key).and_then(|value| value.get_ref().get(index));
        item.map_or_else(|| self.value_place(key), Spanned::span)
    }

    /// A key's value, if it is a string.
    pub(crate) fn string(&self, key: &str) -> Option<&'a str> {
        self.table.get(key).and_then(|value| value.get_ref().as_str())
    }
}

/// A well-formed entry: its value and its places.
pub(crate) struct PlacedEntry<'a, T> {
    pub(crate) spec: T,
    pub(crate) places: PlacedTable<'a>,
}

impl<'a, T: DeserializeOwned> PlacedEntry<'a, T> {
    /// Reads the value of an entry whose keys were checked.
    pub(crate) fn read(places: PlacedTable<'a>, faults: &mut FaultList<'_>) -> Option<Self> {
        let value = Spanned::new(places.place(), DeValue::Table(places.table.clone()));
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(spec) => Some(Self { spec, places }),
            Err(error) => {
                let span = error.span().unwrap_or_else(|| places.place());
                faults.add(span, error.message(), "correct the value");
                None
            }
        }
    }
}
