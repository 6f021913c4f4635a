//! The operators' manifest with its compare-and-set.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestDelta;
use wheel_types::ManifestRevision;

use crate::{GroupLimits, IdempotencyKey, ManifestAnswer, ManifestHistory, RequestDigest};

/// An answer stored for resends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
struct StoredAnswer {
    digest: RequestDigest,
    answer: ManifestAnswer,
}

/// The manifest with its history, and the answers to operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct ManifestRegister {
    pub(crate) history: ManifestHistory,
    answers: BTreeMap<IdempotencyKey, StoredAnswer>,
    /// Keys of the answers, oldest first.
    answer_order: VecDeque<IdempotencyKey>,
}

impl ManifestRegister {
    /// Accepts a manifest edited from the newest revision; a resend gets its first answer.
    pub(crate) fn apply(
        &mut self,
        base: ManifestRevision,
        key: &IdempotencyKey,
        digest: RequestDigest,
        delta: ManifestDelta,
        limits: &GroupLimits,
    ) -> ManifestAnswer {
        match self.answers.get(key) {
            Some(stored) if stored.digest != digest => return ManifestAnswer::KeyReused,
            Some(stored) => return stored.answer,
            None if key.as_str().len() > IdempotencyKey::MAX_BYTES => {
                return ManifestAnswer::TooLarge;
            }
            None => {}
        }
        let answer = self.compare_and_set(base, delta, limits);
        self.store_answer(key.clone(), StoredAnswer { digest, answer }, limits);
        answer
    }

    fn compare_and_set(
        &mut self,
        base: ManifestRevision,
        delta: ManifestDelta,
        limits: &GroupLimits,
    ) -> ManifestAnswer {
        let newest = self.history.manifest();
        if base != newest.revision {
            return ManifestAnswer::Conflict { revision: newest.revision, hash: newest.hash };
        }
        match self.history.preview(&delta) {
            Err(_) => ManifestAnswer::BrokenDelta,
            Ok(manifest) if manifest.source.len() > limits.max_manifest_bytes => {
                ManifestAnswer::TooLarge
            }
            Ok(manifest) => {
                let (revision, hash) = (manifest.revision, manifest.hash);
                self.history.push(manifest, delta);
                ManifestAnswer::Accepted { revision, hash }
            }
        }
    }

    fn store_answer(&mut self, key: IdempotencyKey, stored: StoredAnswer, limits: &GroupLimits) {
        self.answer_order.push_back(key.clone());
        self.answers.insert(key, stored);
        while self.answer_order.len() > limits.max_manifest_answers
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
