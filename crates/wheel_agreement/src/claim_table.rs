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

/// State of a claimed call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
enum ClaimState {
    /// The holder may be sending it.
    Started,
    /// It ran.
    Finished(CallAnswer),
    /// It may have run.
    Unknown,
    /// The holder never sent it and never will; any other request may claim the call. Kept so that
    /// a late claim of the same request isn't granted when nobody waits for it any more.
    Released,
}

/// All claims that haven't expired. A full table drops released claims first and then refuses new
/// ones; any other claim is never dropped before it expires.
///
/// Only the claims themselves are encoded.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "ClaimMap", into = "ClaimMap")]
pub(crate) struct ClaimTable {
    claims: ClaimMap,
    by_time: BTreeSet<(u64, ClaimId)>,
    released: BTreeSet<(u64, ClaimId)>,
    answers_bytes: usize,
}

type ClaimMap = BTreeMap<ClaimId, CallClaim>;

impl From<ClaimMap> for ClaimTable {
    fn from(claims: ClaimMap) -> Self {
        let time_of = |(id, claim): (&ClaimId, &CallClaim)| (claim.claimed_ms, id.clone());
        let is_released = |(_, claim): &(&ClaimId, &CallClaim)| claim.is_released();
        let by_time = claims.iter().map(time_of).collect();
        let released = claims.iter().filter(is_released).map(time_of).collect();
        let answers_bytes = claims.values().map(CallClaim::answer_bytes).sum();
        Self { claims, by_time, released, answers_bytes }
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

    /// Drops expired claims.
    pub(crate) fn expire(&mut self, clock_ms: u64, limits: &GroupLimits) {
        while let Some((claimed_ms, _)) = self.by_time.first()
            && claimed_ms.saturating_add(limits.claim_ttl_ms) <= clock_ms
        {
            let Some((_, id)) = self.by_time.first().cloned() else {
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
        match self.claims.get_mut(&id) {
            Some(claim) if !claim.is_released() => return claim.answer_resend(digest, &holder),
            Some(claim) if claim.holder == holder => return ClaimAnswer::Released,
            Some(_) => self.drop_claim(&id),
            None => {}
        }
        if is_oversized(&id, &holder) {
            return ClaimAnswer::TooLarge;
        }
        if !self.make_room(limits) {
            return ClaimAnswer::Full;
        }
        let state = ClaimState::Started;
        self.insert(id, CallClaim { digest, holder, claimed_ms: clock_ms, state });
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
        match self.open_claim(id, holder) {
            Some(claim) => {
                claim.state = ClaimState::Finished(answer.clone());
                self.answers_bytes += answer.size_bytes();
                ClaimAnswer::Finished { answer }
            }
            None => ClaimAnswer::NotHeld,
        }
    }

    /// Releases a claim, including one that is committed only later.
    pub(crate) fn release(
        &mut self,
        id: ClaimId,
        holder: ClaimHolder,
        clock_ms: u64,
        limits: &GroupLimits,
    ) -> ClaimAnswer {
        let held = self.claims.get(&id).map(|claim| (claim.is_open_for(&holder), claim.claimed_ms));
        let claimed_ms = match held {
            Some((true, claimed_ms)) => claimed_ms,
            None if !is_oversized(&id, &holder) && self.make_room(limits) => clock_ms,
            _ => return ClaimAnswer::NotHeld,
        };
        self.drop_claim(&id);
        self.released.insert((claimed_ms, id.clone()));
        let (digest, state) = (RequestDigest::default(), ClaimState::Released);
        self.insert(id, CallClaim { digest, holder, claimed_ms, state });
        ClaimAnswer::Released
    }

    pub(crate) fn abandon(&mut self, id: &ClaimId, holder: &ClaimHolder) -> ClaimAnswer {
        match self.open_claim(id, holder) {
            Some(claim) => {
                claim.state = ClaimState::Unknown;
                ClaimAnswer::Unknown
            }
            None => ClaimAnswer::NotHeld,
        }
    }

    /// The claim, if `holder` holds it and its outcome isn't known yet.
    fn open_claim(&mut self, id: &ClaimId, holder: &ClaimHolder) -> Option<&mut CallClaim> {
        self.claims.get_mut(id).filter(|claim| claim.is_open_for(holder))
    }

    /// Drops the oldest released claim if the table is full; false if there is none.
    fn make_room(&mut self, limits: &GroupLimits) -> bool {
        if self.claims.len() < limits.max_claims {
            return true;
        }
        let oldest = self.released.first().map(|(_, id)| id.clone());
        oldest.iter().for_each(|id| self.drop_claim(id));
        oldest.is_some()
    }

    fn insert(&mut self, id: ClaimId, claim: CallClaim) {
        self.by_time.insert((claim.claimed_ms, id.clone()));
        self.claims.insert(id, claim);
    }

    fn drop_claim(&mut self, id: &ClaimId) {
        if let Some(claim) = self.claims.remove(id) {
            let key = (claim.claimed_ms, id.clone());
            self.by_time.remove(&key);
            self.released.remove(&key);
            self.answers_bytes -= claim.answer_bytes();
        }
    }
}

impl CallClaim {
    fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Finished(answer) => answer.size_bytes(),
            ClaimState::Started | ClaimState::Unknown | ClaimState::Released => 0,
        }
    }

    fn is_released(&self) -> bool {
        self.state == ClaimState::Released
    }

    /// Whether `holder` holds it and its outcome isn't known yet.
    fn is_open_for(&self, holder: &ClaimHolder) -> bool {
        let is_open = matches!(self.state, ClaimState::Started | ClaimState::Unknown);
        is_open && self.holder == *holder
    }

    /// Answers another claim of the same call.
    fn answer_resend(&mut self, digest: RequestDigest, holder: &ClaimHolder) -> ClaimAnswer {
        if self.state == ClaimState::Started && self.is_superseded_by(holder) {
            self.state = ClaimState::Unknown;
        }
        match &self.state {
            _ if self.digest != digest => ClaimAnswer::Mismatch,
            ClaimState::Started if self.holder == *holder => ClaimAnswer::Granted,
            ClaimState::Started => ClaimAnswer::InProgress { holder: self.holder.clone() },
            ClaimState::Finished(answer) => ClaimAnswer::Finished { answer: answer.clone() },
            ClaimState::Unknown => ClaimAnswer::Unknown,
            ClaimState::Released => ClaimAnswer::Released,
        }
    }

    /// Whether `holder` is a later incarnation of the same instance: the earlier process has ended.
    fn is_superseded_by(&self, holder: &ClaimHolder) -> bool {
        holder.instance == self.holder.instance && holder.incarnation > self.holder.incarnation
    }
}

/// Largest total size of names, key and ids in a claim.
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
