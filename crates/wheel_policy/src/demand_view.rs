//! Waiting and expected requests of one data centre.

use wheel_types::{AdapterName, ModelName, MonotonicTime, RequestRank};

/// Demand by model; a model without an entry has none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandView {
    /// Models that are requested or expected to be.
    pub models: Vec<ModelDemand>,
}

/// Demand for one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Requests that wait because no replica accepts them, by rank, from all ingress instances.
    pub waiting: Vec<RankDemand>,
    /// Requests that wait in the queues of engines that have it.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Requested adapters.
    pub adapters: Vec<AdapterDemand>,
    /// Reachable replicas in other data centres that accept requests.
    pub remote_replicas: u32,
    /// Requests that wait in the queues of these replicas.
    pub remote_queued: u32,
    /// Expected requests per hour from now on, from the forecast and the last arrivals.
    pub hourly_rate: f64,
    /// Requests expected within the duration of a load, from the forecast alone.
    pub expected_soon: f64,
    /// Worth of one of its requests: that of the rank that most of them have.
    pub worth: f64,
}

/// Requests of one rank that wait for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankDemand {
    /// The rank.
    pub rank: RequestRank,
    /// How many wait.
    pub count: u32,
    /// When the first of them arrived.
    pub oldest_arrival: MonotonicTime,
    /// The earliest of their deadlines.
    pub earliest_deadline: MonotonicTime,
}

/// Requests that wait for an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand {
    /// The adapter.
    pub adapter: AdapterName,
    /// How many wait.
    pub waiting: u32,
}

impl Default for ModelDemand {
    fn default() -> Self {
        Self {
            model: "".into(),
            waiting: Vec::new(),
            queued: 0,
            running: 0,
            adapters: Vec::new(),
            remote_replicas: 0,
            remote_queued: 0,
            hourly_rate: 0.0,
            expected_soon: 0.0,
            worth: 1.0,
        }
    }
}

impl ModelDemand {
    /// Requests of all ranks that wait for a replica.
    pub fn waiting_count(&self) -> u32 {
        self.waiting.iter().map(|rank| rank.count).sum()
    }
}
