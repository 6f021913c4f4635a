//! The operators' text with its compare-and-set.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use wheel_manifest::ManifestDelta;
use wheel_types::ManifestRevision;

use crate::{GroupLimits, IdempotencyKey, RequestDigest, TextAnswer, TextHistory};

/// An answer kept for resends.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
struct KeptAnswer {
    digest: RequestDigest,
    answer: TextAnswer,
}

/// The text, its history, and the answers that operators got.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(crate) struct TextRegister {
    pub(crate) history: TextHistory,
    answers: BTreeMap<IdempotencyKey, KeptAnswer>,
    /// Keys of the answers, oldest first.
    order: VecDeque<IdempotencyKey>,
}

impl TextRegister {
    /// Accepts a text edited from the newest revision; a resend gets its first answer.
    pub(crate) fn apply(
        &mut self,
        base: ManifestRevision,
        key: &IdempotencyKey,
        digest: RequestDigest,
        delta: ManifestDelta,
        limits: &GroupLimits,
    ) -> TextAnswer {
        match self.answers.get(key) {
            Some(kept) if kept.digest != digest => return TextAnswer::KeyReused,
            Some(kept) => return kept.answer,
            None if key.as_str().len() > IdempotencyKey::MAX_BYTES => return TextAnswer::TooLarge,
            None => {}
        }
        let answer = self.compare_and_set(base, delta, limits);
        self.keep(key.clone(), KeptAnswer { digest, answer }, limits);
        answer
    }

    fn compare_and_set(
        &mut self,
        base: ManifestRevision,
        delta: ManifestDelta,
        limits: &GroupLimits,
    ) -> TextAnswer {
        let newest = self.history.text();
        if base != newest.revision {
            return TextAnswer::Conflict { revision: newest.revision, hash: newest.hash };
        }
        match self.history.preview(&delta) {
            Err(_) => TextAnswer::BrokenDelta,
            Ok(text) if text.source.len() > limits.max_text_bytes => TextAnswer::TooLarge,
            Ok(text) => {
                let (revision, hash) = (text.revision, text.hash);
                self.history.push(text, delta);
                TextAnswer::Accepted { revision, hash }
            }
        }
    }

    fn keep(&mut self, key: IdempotencyKey, kept: KeptAnswer, limits: &GroupLimits) {
        self.order.push_back(key.clone());
        self.answers.insert(key, kept);
        while self.order.len() > limits.max_text_answers
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}
