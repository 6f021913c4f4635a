//! Claims on calls that must not run twice.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{CallAnswer, ClaimAnswer, ClaimHolder, ClaimId, GroupLimits, RequestDigest};

/// One claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
struct CallClaim {
    digest: RequestDigest,
    holder: ClaimHolder,
    claimed_ms: u64,
    state: ClaimState,
}

/// How far a claimed call is. There is no way back to a call that may be sent, but for a release
/// by its holder.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
enum ClaimState {
    /// The holder may be sending it.
    Started,
    /// It ran.
    Finished(CallAnswer),
    /// It may have run.
    Unknown,
}

/// All claims of the kept time. When it is full, new claims are refused; a claim is never dropped
/// before its time.
///
/// Only the claims themselves are encoded.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "ClaimMap", into = "ClaimMap")]
pub(crate) struct ClaimTable {
    claims: ClaimMap,
    by_time: BTreeSet<(u64, ClaimId)>,
    answers_bytes: usize,
}

type ClaimMap = BTreeMap<ClaimId, CallClaim>;

impl From<ClaimMap> for ClaimTable {
    fn from(claims: ClaimMap) -> Self {
        let by_time = claims.iter().map(|(id, claim)| (claim.claimed_ms, id.clone())).collect();
        let answers_bytes = claims.values().map(CallClaim::answer_bytes).sum();
        Self { claims, by_time, answers_bytes }
    }
}

impl From<ClaimTable> for ClaimMap {
    fn from(table: ClaimTable) -> Self {
        table.claims
    }
}

impl ClaimTable {
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    /// Drops claims whose time is over.
    pub(crate) fn expire(&mut self, clock_ms: u64, limits: &GroupLimits) {
        while let Some((claimed_ms, _)) = self.by_time.first()
            && claimed_ms.saturating_add(limits.claim_life_ms) <= clock_ms
        {
            let Some((_, id)) = self.by_time.pop_first() else {
                return;
            };
            self.drop_claim(&id);
        }
    }

    pub(crate) fn claim(
        &mut self,
        id: ClaimId,
        digest: RequestDigest,
        holder: ClaimHolder,
        clock_ms: u64,
        limits: &GroupLimits,
    ) -> ClaimAnswer {
        if let Some(claim) = self.claims.get_mut(&id) {
            return claim.answer_resend(digest, &holder);
        }
        if is_oversized(&id, &holder) {
            return ClaimAnswer::TooLarge;
        }
        if self.claims.len() >= limits.max_claims {
            return ClaimAnswer::Full;
        }
        self.by_time.insert((clock_ms, id.clone()));
        let state = ClaimState::Started;
        self.claims.insert(id, CallClaim { digest, holder, claimed_ms: clock_ms, state });
        ClaimAnswer::Granted
    }

    pub(crate) fn finish(
        &mut self,
        id: &ClaimId,
        holder: &ClaimHolder,
        answer: CallAnswer,
        limits: &GroupLimits,
    ) -> ClaimAnswer {
        let free_bytes = limits.max_answers_bytes.saturating_sub(self.answers_bytes);
        let answer = match answer.size_bytes() {
            size if size <= limits.max_answer_bytes.min(free_bytes) => answer,
            _ => answer.without_body(),
        };
        match self.held(id, holder) {
            Some(claim) => {
                claim.state = ClaimState::Finished(answer.clone());
                self.answers_bytes += answer.size_bytes();
                ClaimAnswer::Finished { answer }
            }
            None => ClaimAnswer::NotHeld,
        }
    }

    pub(crate) fn release(&mut self, id: &ClaimId, holder: &ClaimHolder) -> ClaimAnswer {
        match self.held(id, holder) {
            Some(claim) if claim.state == ClaimState::Started => {
                let claimed_ms = claim.claimed_ms;
                self.by_time.remove(&(claimed_ms, id.clone()));
                self.drop_claim(id);
                ClaimAnswer::Released
            }
            _ => ClaimAnswer::NotHeld,
        }
    }

    pub(crate) fn abandon(&mut self, id: &ClaimId, holder: &ClaimHolder) -> ClaimAnswer {
        match self.held(id, holder) {
            Some(claim) => {
                claim.state = ClaimState::Unknown;
                ClaimAnswer::Unknown
            }
            None => ClaimAnswer::NotHeld,
        }
    }

    /// The claim, if it is `holder`'s and its outcome isn't known yet.
    fn held(&mut self, id: &ClaimId, holder: &ClaimHolder) -> Option<&mut CallClaim> {
        let claim = self.claims.get_mut(id)?;
        let is_open = !matches!(claim.state, ClaimState::Finished(_));
        (is_open && claim.holder == *holder).then_some(claim)
    }

    fn drop_claim(&mut self, id: &ClaimId) {
        if let Some(claim) = self.claims.remove(id) {
            self.answers_bytes -= claim.answer_bytes();
        }
    }
}

impl CallClaim {
    fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Finished(answer) => answer.size_bytes(),
            ClaimState::Started | ClaimState::Unknown => 0,
        }
    }

    /// Answers another claim of the same call.
    fn answer_resend(&mut self, digest: RequestDigest, holder: &ClaimHolder) -> ClaimAnswer {
        if self.state == ClaimState::Started && self.is_outlived_by(holder) {
            self.state = ClaimState::Unknown;
        }
        match &self.state {
            _ if self.digest != digest => ClaimAnswer::Mismatch,
            ClaimState::Started if self.holder == *holder => ClaimAnswer::Granted,
            ClaimState::Started => ClaimAnswer::InProgress { holder: self.holder.clone() },
            ClaimState::Finished(answer) => ClaimAnswer::Finished { answer: answer.clone() },
            ClaimState::Unknown => ClaimAnswer::Unknown,
        }
    }

    /// Whether a later life of the same process claims: the earlier one is gone for good.
    fn is_outlived_by(&self, holder: &ClaimHolder) -> bool {
        holder.instance == self.holder.instance && holder.incarnation > self.holder.incarnation
    }
}

/// The most bytes of names, key and ids in a claim.
const MAX_CLAIM_BYTES: usize = 384;

fn is_oversized(id: &ClaimId, holder: &ClaimHolder) -> bool {
    let names = [
        id.service.as_str(),
        id.caller.as_str(),
        id.key.as_str(),
        holder.instance.as_str(),
        holder.request.as_str(),
    ];
    names.iter().map(|name| name.len()).sum::<usize>() > MAX_CLAIM_BYTES
}
