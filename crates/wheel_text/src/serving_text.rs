//! A revision of the text, ready to be served from.

use std::sync::Arc;

use wheel_types::TextRevision;

use crate::{OperatorsText, TextHash, TextIndex};

/// An accepted revision: its source and its checked form with look-ups by name.
#[derive(Clone, Debug, Default)]
pub struct ServingText {
    /// The revision.
    pub revision: TextRevision,
    /// Its chained hash.
    pub hash: TextHash,
    /// The text as it was applied.
    pub source: Arc<str>,
    /// The checked form.
    pub text: Arc<OperatorsText>,
    /// Look-ups in the checked form.
    pub index: TextIndex,
}

impl ServingText {
    /// Prepares a checked text.
    pub fn new(
        revision: TextRevision,
        hash: TextHash,
        source: Arc<str>,
        text: OperatorsText,
    ) -> Self {
        let text = Arc::new(text);
        let index = TextIndex::new(Arc::clone(&text));
        Self { revision, hash, source, text, index }
    }
}
