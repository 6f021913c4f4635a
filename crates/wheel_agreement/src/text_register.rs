//! The operators' text with its compare-and-set.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wheel_text::TextDelta;
use wheel_types::TextRevision;

use crate::{GroupLimits, IdempotencyKey, ManifestAnswer, ManifestHistory, RequestDigest};

/// An answer kept for resends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
struct KeptAnswer {
    digest: RequestDigest,
    answer: ManifestAnswer,
}

/// The text, its history, and the answers that operators got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct TextRegister {
    pub(crate) history: ManifestHistory,
    answers: BTreeMap<IdempotencyKey, KeptAnswer>,
    /// Keys of the answers, oldest first.
    order: VecDeque<IdempotencyKey>,
}

impl TextRegister {
    /// Accepts a text edited from the newest revision; a resend gets its first answer.
    pub(crate) fn apply(
        &mut self,
        base: TextRevision,
        key: &IdempotencyKey,
        digest: RequestDigest,
        delta: TextDelta,
        limits: &GroupLimits,
    ) -> ManifestAnswer {
        match self.answers.get(key) {
            Some(kept) if kept.digest != digest => return ManifestAnswer::KeyReused,
            Some(kept) => return kept.answer,
            None if key.as_str().len() > IdempotencyKey::MAX_BYTES => {
                return ManifestAnswer::TooLarge;
            }
            None => {}
        }
        let answer = self.compare_and_set(base, delta, limits);
        self.keep(key.clone(), KeptAnswer { digest, answer }, limits);
        answer
    }

    fn compare_and_set(
        &mut self,
        base: TextRevision,
        delta: TextDelta,
        limits: &GroupLimits,
    ) -> ManifestAnswer {
        let newest = self.history.text();
        if base != newest.revision {
            return ManifestAnswer::Conflict { revision: newest.revision, hash: newest.hash };
        }
        match self.history.preview(&delta) {
            Err(_) => ManifestAnswer::BrokenDelta,
            Ok(text) if text.source.len() > limits.max_manifest_bytes => ManifestAnswer::TooLarge,
            Ok(text) => {
                let (revision, hash) = (text.revision, text.hash);
                self.history.push(text, delta);
                ManifestAnswer::Accepted { revision, hash }
            }
        }
    }

    fn keep(&mut self, key: IdempotencyKey, kept: KeptAnswer, limits: &GroupLimits) {
        self.order.push_back(key.clone());
        self.answers.insert(key, kept);
        while self.order.len() > limits.max_manifest_answers
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
