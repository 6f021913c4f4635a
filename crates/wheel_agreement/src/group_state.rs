//! The replicated state machine.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestHash;
use wheel_types::ManifestRevision;

use crate::claim_table::ClaimTable;
use crate::manifest_register::ManifestRegister;
use crate::{
    AcceptedManifest, CodecError, DocumentAnswer, GroupAction, GroupAnswer, GroupCommand,
    GroupLimits, ManifestHistory, ManifestUpdate, StoredDocument, decode, encode,
};

/// What the group agrees on: the operators' manifest and the claims on calls that must not run
/// twice. The same commands in the same order give the same state and the same answers everywhere.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupState {
    limits: GroupLimits,
    state: SnapshotState,
}

/// Contents of a snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct SnapshotState {
    applied: u64,
    clock_ms: u64,
    register: ManifestRegister,
    claims: ClaimTable,
    document: Option<StoredDocument>,
}

impl GroupState {
    /// Creates an empty state; `limits` must be the same in the whole group.
    pub fn open(limits: GroupLimits) -> Self {
        Self { limits, state: SnapshotState::default() }
    }

    /// Applies the committed command of the entry `index`.
    pub fn apply(&mut self, index: u64, command: &GroupCommand) -> GroupAnswer {
        debug_assert!(index > self.state.applied, "entries are applied once and in order");
        self.state.applied = index;
        self.state.clock_ms = self.state.clock_ms.max(command.leader_ms);
        let Self { limits, state } = self;
        let SnapshotState { clock_ms, register, claims, document, .. } = state;
        claims.expire(*clock_ms, limits);
        match command.action.clone() {
            GroupAction::ApplyManifest { base, key, digest, delta } => {
                GroupAnswer::Manifest(register.apply(base, &key, digest, delta, limits))
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

    /// The newest accepted manifest.
    pub fn manifest(&self) -> &AcceptedManifest {
        self.history().manifest()
    }

    /// The newest accepted manifest with its latest changes.
    pub fn history(&self) -> &ManifestHistory {
        &self.state.register.history
    }

    /// The update from a given revision to the newest manifest.
    pub fn changes_since(&self, revision: ManifestRevision, hash: ManifestHash) -> ManifestUpdate {
        self.history().changes_since(revision, hash)
    }

    /// The configuration document with the highest version, if there is one.
    pub fn document(&self) -> Option<&StoredDocument> {
        self.state.document.as_ref()
    }

    /// The last applied entry that held a command.
    pub fn applied(&self) -> u64 {
        self.state.applied
    }

    /// The group's time in milliseconds, as the commands carried it.
    pub fn clock_ms(&self) -> u64 {
        self.state.clock_ms
    }

    /// How many claims are kept.
    pub fn claim_count(&self) -> usize {
        self.state.claims.len()
    }

    /// Encodes the state for [`crate::RaftInput::Compacted`].
    ///
    /// # Errors
    /// [`CodecError`] if the state has no encoding, which can't happen.
    pub fn snapshot(&self) -> Result<Vec<u8>, CodecError> {
        encode(&self.state)
    }

    /// Replaces the state by one from [`GroupState::snapshot`]; no bytes stand for the empty state.
    ///
    /// # Errors
    /// [`CodecError`] if the bytes aren't an encoded state; the state is unchanged.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), CodecError> {
        self.state = match bytes {
            [] => SnapshotState::default(),
            bytes => decode(bytes)?,
        };
        Ok(())
    }
}

/// The highest version wins; an equal one changes nothing, whatever its contents.
fn adopt_document(
    held: &mut Option<StoredDocument>,
    version: u64,
    bytes: Arc<[u8]>,
    limits: &GroupLimits,
) -> DocumentAnswer {
    match held {
        Some(held) if held.version >= version => DocumentAnswer::Kept { version: held.version },
        _ if bytes.len() > limits.max_manifest_bytes => DocumentAnswer::TooLarge,
        _ => {
            *held = Some(StoredDocument { version, bytes });
            DocumentAnswer::Adopted
        }
    }
}
