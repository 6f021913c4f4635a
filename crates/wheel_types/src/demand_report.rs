//! Demand reports that instances send to the lease holder of their data centre.

use serde::{Deserialize, Serialize};

use crate::{AdapterName, InstanceName, ModelName, RequestRank};

/// Demand for one model, or one adapter of it, at one rank.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandEntry {
    /// The model.
    pub model: ModelName,
    /// The adapter.
    pub adapter: Option<AdapterName>,
    /// The rank.
    pub rank: RequestRank,
    /// Requests that arrived since the last report.
    pub arrivals: u32,
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Time until the earliest deadline of the waiting requests, in milliseconds.
    pub due_in_ms: u64,
}

/// One instance's demand since its last report. Models without demand aren't listed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandReport {
    /// The demand, in no particular order.
    pub entries: Vec<DemandEntry>,
}

/// The lease holder's answer to a [`DemandReport`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DemandReply {
    /// The holder recorded the report.
    Noted,
    /// The instance that received the report doesn't hold the lease.
    NotHolder {
        /// The current holder, if that instance knows it.
        holder: Option<InstanceName>,
    },
}
