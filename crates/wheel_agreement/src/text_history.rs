//! The accepted text with its latest changes.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};
use wheel_manifest::{DeltaError, ManifestDelta, ManifestHash};
use wheel_types::ManifestRevision;

use crate::{AcceptedText, TextChange, TextUpdate};

/// The newest accepted text and the changes that led to it, as many as the bounds allow. Control
/// instances keep it in [`crate::GroupState`]; entries keep one, too, and pass updates on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TextHistory {
    text: AcceptedText,
    changes: VecDeque<TextChange>,
    changes_bytes: usize,
}

/// Why an update wasn't taken in; the text stays as it was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateError {
    /// It isn't newer than the text held.
    Stale,
    /// It doesn't follow the text held: ask again, for a whole text.
    Broken,
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stale => "the update isn't newer than the text held",
            Self::Broken => "the update doesn't follow the text held",
        })
    }
}

impl std::error::Error for UpdateError {}

impl TextHistory {
    /// The most changes kept; the oldest go first.
    pub const MAX_CHANGES: usize = 1_024;
    /// The most bytes of changes kept; the oldest go first.
    pub const MAX_CHANGES_BYTES: usize = 2 << 20;

    /// The newest text.
    pub fn text(&self) -> &AcceptedText {
        &self.text
    }

    /// The text after `delta`, unless the delta was made from another text.
    ///
    /// # Errors
    /// [`DeltaError`] if the delta doesn't fit.
    pub fn preview(&self, delta: &ManifestDelta) -> Result<AcceptedText, DeltaError> {
        let source = delta.apply_to(&self.text.source)?;
        let hash = self.text.hash.chain(&source);
        Ok(AcceptedText { revision: self.text.revision.next(), hash, source: source.into() })
    }

    /// What leads from the revision that someone holds to the newest text.
    pub fn changes_since(&self, revision: ManifestRevision, hash: ManifestHash) -> TextUpdate {
        let is_held = |change: &TextChange| change.revision == revision && change.hash == hash;
        let is_start = (revision, hash) == Default::default();
        let oldest = self.changes.front().map(|change| change.revision);
        match self.changes.iter().position(is_held) {
            _ if (revision, hash) == (self.text.revision, self.text.hash) => TextUpdate::Current,
            Some(place) => self.changes_from(place + 1),
            None if is_start && oldest == Some(revision.next()) => self.changes_from(0),
            None => TextUpdate::Snapshot(self.text.clone()),
        }
    }

    /// Takes a newer text in; an older one is never taken.
    ///
    /// # Errors
    /// [`UpdateError`] if the update is older or doesn't follow the text held.
    pub fn follow(&mut self, update: TextUpdate) -> Result<(), UpdateError> {
        match update {
            TextUpdate::Current => Err(UpdateError::Stale),
            TextUpdate::Changes(changes) => self.follow_changes(changes),
            TextUpdate::Snapshot(text) if text.revision <= self.text.revision => {
                Err(UpdateError::Stale)
            }
            TextUpdate::Snapshot(text) => {
                *self = Self { text, ..Self::default() };
                Ok(())
            }
        }
    }

    /// Makes `text`, the [`TextHistory::preview`] of `delta`, the newest.
    pub(crate) fn push(&mut self, text: AcceptedText, delta: ManifestDelta) {
        let change = TextChange { revision: text.revision, hash: text.hash, delta };
        self.changes_bytes += change_bytes(&change);
        self.changes.push_back(change);
        self.text = text;
        self.trim();
    }

    fn follow_changes(&mut self, changes: Vec<TextChange>) -> Result<(), UpdateError> {
        let held = self.text.revision;
        let mut history = self.clone();
        for change in changes.into_iter().filter(|change| change.revision > held) {
            let text = history.preview(&change.delta).map_err(|_| UpdateError::Broken)?;
            if (text.revision, text.hash) != (change.revision, change.hash) {
                return Err(UpdateError::Broken);
            }
            history.push(text, change.delta);
        }
        if history.text.revision == held {
            return Err(UpdateError::Stale);
        }
        *self = history;
        Ok(())
    }

    fn changes_from(&self, place: usize) -> TextUpdate {
        TextUpdate::Changes(self.changes.iter().skip(place).cloned().collect())
    }

    fn trim(&mut self) {
        let is_over = |history: &Self| {
            history.changes.len() > Self::MAX_CHANGES
                || history.changes_bytes > Self::MAX_CHANGES_BYTES
        };
        while is_over(self)
            && let Some(oldest) = self.changes.pop_front()
        {
            self.changes_bytes -= change_bytes(&oldest);
        }
    }
}

/// Fixed share of a change's and of a hunk's size, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 64;

fn change_bytes(change: &TextChange) -> usize {
    let hunk_bytes = change.delta.hunks.iter().map(|hunk| CHANGE_OVERHEAD_BYTES + hunk.added.len());
    CHANGE_OVERHEAD_BYTES + hunk_bytes.sum::<usize>()
}
