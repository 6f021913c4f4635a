//! Messages by which instances ask for and receive parts of teams' allowances.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Units of a team's allowance that an instance asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllowanceDemand {
    /// The team.
    pub team: Arc<str>,
    /// The rank of the waiting requests; [`AllowanceDemand::SPARE_RANK`] for a stock.
    pub rank: u8,
    /// Units.
    pub amount: u64,
    /// The units that are of use only together: those of the first waiting request.
    pub chunk: u64,
    /// Milliseconds for which the first request has waited.
    pub waited_ms: u32,
}

impl AllowanceDemand {
    /// The rank of demand for which no request waits.
    pub const SPARE_RANK: u8 = u8::MAX;
}

/// Units of a team's allowance that an instance may use.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllowanceGrant {
    /// The team.
    pub team: Arc<str>,
    /// Units.
    pub amount: u64,
    /// Milliseconds after which they lapse, counted from the call whose reply brings the grant.
    pub life_ms: u64,
}

/// How long requests of a team wait for its allowance, over all instances.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllowanceWait {
    /// The team.
    pub team: Arc<str>,
    /// The rank of the requests.
    pub rank: u8,
    /// Milliseconds until all requests of this rank and the more urgent ones that wait at present have
    /// their units.
    pub wait_ms: u64,
}

/// Asks a control instance, or the leader, for allowance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllowanceRequest {
    /// The asking instance.
    pub instance: Arc<str>,
    /// What it asks for. It replaces what the instance asked for before.
    pub demand: Vec<AllowanceDemand>,
}

/// The reply to an [`AllowanceRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllowanceReply {
    /// What the instance may use.
    pub grants: Vec<AllowanceGrant>,
    /// The waits of the teams that were asked for, as far as the leader is known to have told them.
    pub waits: Vec<AllowanceWait>,
}
