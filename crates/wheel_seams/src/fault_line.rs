//! A line of `key=value` pairs.

use std::collections::BTreeMap;
use std::str::FromStr;

use snafu::{OptionExt, Snafu, ensure};

/// Why a line can't be parsed.
#[derive(Debug, Eq, PartialEq)]
#[derive(Snafu)]
#[snafu(visibility(pub))]
pub enum FaultLineError {
    /// A word isn't a pair.
    #[snafu(display("`{word}` isn't a key=value pair"))]
    NoPair {
        /// The word.
        word: String,
    },
    /// A key is unknown here or occurs twice.
    #[snafu(display("`{key}` is unknown or occurs twice"))]
    WrongKey {
        /// The key.
        key: String,
    },
    /// A value isn't valid for its key.
    #[snafu(display("`{value}` isn't a valid value of `{key}`"))]
    WrongValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// A key that another key requires is missing.
    #[snafu(display("`{key}` is missing"))]
    MissingKey {
        /// The key.
        key: String,
    },
}

/// The pairs of a line that haven't been parsed yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FaultLine {
    pairs: BTreeMap<String, String>,
}

impl FaultLine {
    /// Removes and returns the value of a key.
    pub fn take_value(&mut self, key: &str) -> Option<String> {
        self.pairs.remove(key)
    }

    /// Removes and returns the value of a key as a number.
    ///
    /// # Errors
    /// [`FaultLineError::WrongValue`] if it isn't one.
    pub fn take_number<N: FromStr>(&mut self, key: &str) -> Result<Option<N>, FaultLineError> {
        let Some(value) = self.take_value(key) else { return Ok(None) };
        let number = value.parse().ok();
        number.map(Some).context(WrongValueSnafu { key, value })
    }

    /// Like [`FaultLine::take_number`], for a key that is required.
    ///
    /// # Errors
    /// [`FaultLineError::MissingKey`] if the key is missing, [`FaultLineError::WrongValue`] if the
    /// value isn't a number.
    pub fn require_number<N: FromStr>(&mut self, key: &str) -> Result<N, FaultLineError> {
        self.take_number(key)?.context(MissingKeySnafu { key })
    }

    /// Checks that no pairs remain.
    pub(crate) fn check_empty(self) -> Result<(), FaultLineError> {
        match self.pairs.into_keys().next() {
            Some(key) => WrongKeySnafu { key }.fail(),
            None => Ok(()),
        }
    }
}

impl FromStr for FaultLine {
    type Err = FaultLineError;

    fn from_str(text: &str) -> Result<Self, FaultLineError> {
        let mut line = Self::default();
        for word in text.split_whitespace() {
            let (key, value) = word.split_once('=').context(NoPairSnafu { word })?;
            let previous = line.pairs.insert(key.to_owned(), value.to_owned());
            ensure!(previous.is_none(), WrongKeySnafu { key });
        }
        Ok(line)
    }
}
