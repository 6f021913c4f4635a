//! A request that an ingress instance may have to hold until an engine has room.

use std::sync::Arc;
use std::time::Duration;

use wheel_route::{DemandKey, EngineId};
use wheel_types::MonotonicTime;

/// What a [`crate::DispatchQueue`] needs to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchRequest {
    /// The model that it needs.
    pub target: DemandKey,
    /// The caller's team; requests without one share a flow.
    pub team: Option<Arc<str>>,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Tokens of prompt and answer; 0 counts as 1.
    pub cost: u64,
    /// When it arrived.
    pub arrival: MonotonicTime,
    /// When its objective ends.
    pub objective_end: MonotonicTime,
    /// When its answer has to have begun at the latest.
    pub deadline: MonotonicTime,
}

/// An engine as known to an ingress instance.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRoom {
    /// The engine.
    pub engine: EngineId,
    /// Requests that it serves at once; 0 if it names no limit.
    pub slots: u32,
    /// Requests in progress there, from all instances as far as known.
    pub active: u32,
}

/// What is known of the fleet when a decision is made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DispatchView {
    /// A number that changes with each received view of the fleet.
    pub generation: u64,
    /// Number of ingress instances; 0 if unknown.
    pub ingress_count: u32,
    /// Age of the numbers of open requests.
    pub age: Duration,
}

/// Identifies a request in its [`crate::DispatchQueue`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DispatchTicket(pub(crate) u64);

/// What becomes of a request at its arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEntry {
    /// It is sent now, to one of these engines.
    Send(Vec<EngineId>),
    /// It waits.
    Wait(DispatchTicket),
    /// It isn't taken in, since so many more urgent or earlier requests wait; room is expected after
    /// this time.
    Refuse(Duration),
}

/// A decision on a request that waits.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchStep {
    /// It is sent now, to one of these engines. The first of them has a place reserved for it.
    Send(DispatchTicket, Vec<EngineId>),
    /// It is refused; room is expected after this time.
    Refuse(DispatchTicket, Duration),
}
