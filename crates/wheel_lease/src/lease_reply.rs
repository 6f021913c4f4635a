//! The answer of a grantor.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wheel_types::FencingNumber;

use crate::HolderId;

/// The answer to a [`LeaseRequest`](crate::LeaseRequest).
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LeaseReply {
    /// The round of the request.
    pub round: u64,
    /// Granted or not.
    pub decision: LeaseDecision,
    /// The highest number that the grantor has granted or seen.
    pub highest: FencingNumber,
    /// The holder of the grant that is still in effect, if any.
    pub holder: Option<HolderId>,
}

/// Whether a grantor grants.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum LeaseDecision {
    /// The grant lasts the whole term from the request's arrival; also the answer to a release.
    Granted,
    /// Not granted.
    Refused {
        /// The reason.
        obstacle: LeaseObstacle,
        /// How long the obstacle lasts at most, or zero if waiting doesn't help.
        wait: Duration,
    },
}

/// Why a grantor refuses.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum LeaseObstacle {
    /// The grantor started a short time ago and may have forgotten a grant.
    Restarting,
    /// Another holder's grant is still in effect.
    Held,
    /// The number or the round is outdated.
    Stale,
    /// The grantor knows a newer grantor set.
    SetChanged,
    /// The term exceeds the longest that the grantor allows.
    TermTooLong,
}
