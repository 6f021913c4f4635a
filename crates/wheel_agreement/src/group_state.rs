//! The replicated state machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestHash;
use wheel_types::ManifestRevision;

use crate::claim_table::ClaimTable;
use crate::text_register::TextRegister;
use crate::{
    AcceptedText, CodecError, DocumentAnswer, GroupAction, GroupAnswer, GroupCommand, GroupLimits,
    StoredDocument, TextHistory, TextUpdate, decode, encode,
};

/// What the group agrees on: the operators' text and the claims on calls that must not run twice.
/// The same commands in the same order give the same state and the same answers everywhere.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupState {
    limits: GroupLimits,
    kept: KeptState,
}

/// What snapshots hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct KeptState {
    applied: u64,
    clock_ms: u64,
    register: TextRegister,
    claims: ClaimTable,
    document: Option<StoredDocument>,
}

impl GroupState {
    /// Starts empty, with limits that are the same in the whole group.
    pub fn open(limits: GroupLimits) -> Self {
        Self { limits, kept: KeptState::default() }
    }

    /// Applies the committed command of the entry `index`.
    pub fn apply(&mut self, index: u64, command: &GroupCommand) -> GroupAnswer {
        debug_assert!(index > self.kept.applied, "entries are applied once and in order");
        self.kept.applied = index;
        self.kept.clock_ms = self.kept.clock_ms.max(command.leader_ms);
        let Self { limits, kept } = self;
        let KeptState { clock_ms, register, claims, document, .. } = kept;
        claims.expire(*clock_ms, limits);
        match command.action.clone() {
            GroupAction::ApplyText { base, key, digest, delta } => {
                GroupAnswer::Text(register.apply(base, &key, digest, delta, limits))
            }
            GroupAction::AdoptDocument { version, bytes } => {
                GroupAnswer::Document(adopt_document(document, version, bytes, limits))
            }
            GroupAction::ClaimCall { claim, digest, holder } => {
                GroupAnswer::Claim(claims.claim(claim, digest, holder, *clock_ms, limits))
            }
            GroupAction::FinishCall { claim, holder, answer } => {
                GroupAnswer::Claim(claims.finish(&claim, &holder, answer, limits))
            }
            GroupAction::ReleaseCall { claim, holder } => {
                GroupAnswer::Claim(claims.release(claim, holder, *clock_ms, limits))
            }
            GroupAction::AbandonCall { claim, holder } => {
                GroupAnswer::Claim(claims.abandon(&claim, &holder))
            }
        }
    }

    /// The newest accepted text.
    pub fn text(&self) -> &AcceptedText {
        self.history().text()
    }

    /// The newest accepted text with its latest changes.
    pub fn history(&self) -> &TextHistory {
        &self.kept.register.history
    }

    /// What leads from the revision that someone holds to the newest text.
    pub fn changes_since(&self, revision: ManifestRevision, hash: ManifestHash) -> TextUpdate {
        self.history().changes_since(revision, hash)
    }

    /// The configuration document with the highest version, if there is one.
    pub fn document(&self) -> Option<&StoredDocument> {
        self.kept.document.as_ref()
    }

    /// The last applied entry that held a command.
    pub fn applied(&self) -> u64 {
        self.kept.applied
    }

    /// The group's time in milliseconds, as the commands carried it.
    pub fn clock_ms(&self) -> u64 {
        self.kept.clock_ms
    }

    /// How many claims are kept.
    pub fn claim_count(&self) -> usize {
        self.kept.claims.len()
    }

    /// Encodes the state for [`crate::RaftInput::Compacted`].
    ///
    /// # Errors
    /// [`CodecError`] if the state has no encoding, which can't be.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        encode(&self.kept)
    }

    /// Replaces the state by one from [`GroupState::snapshot`]; no bytes are the empty state.
    ///
    /// # Errors
    /// [`CodecError`] if the bytes are no such state; the state stays as it was.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        self.kept = match bytes {
            [] => KeptState::default(),
            bytes => decode(bytes)?,
        };
        Ok(())
    }
}

/// The highest version wins; an equal one changes nothing, whatever it holds.
fn adopt_document(
    held: &mut Option<StoredDocument>,
    version: u64,
    bytes: Arc<[u8]>,
    limits: &GroupLimits,
) -> DocumentAnswer {
    match held {
        Some(held) if held.version >= version => DocumentAnswer::Kept { version: held.version },
        _ if bytes.len() > limits.max_text_bytes => DocumentAnswer::TooLarge,
        _ => {
            *held = Some(StoredDocument { version, bytes });
            DocumentAnswer::Adopted
        }
    }
}
