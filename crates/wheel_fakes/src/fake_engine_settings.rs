//! Settings of the fake engine.

use std::net::SocketAddr;
use std::time::Duration;

use wheel_types::{IncarnationId, ModelName};

/// How a fake engine behaves.
#[derive(Clone, Debug)]
pub struct FakeEngineSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// Its first incarnation.
    pub incarnation: IncarnationId,
    /// Memory for models and adapters, in mebibytes.
    pub memory_mib: u64,
    /// Calls that run at once.
    pub slots: usize,
    /// Calls that may wait inside it.
    pub max_waiting: usize,
    /// Time for one token.
    pub token_time: Duration,
    /// Load time of a checkpoint in the host's memory, and time to unload a model.
    pub memory_load: Duration,
    /// Load time of a checkpoint on the local disk.
    pub disk_load: Duration,
    /// Load time of a checkpoint from the store, beside what the store itself takes.
    pub store_load: Duration,
    /// The weight store; without one only the times above count.
    pub store: Option<SocketAddr>,
    /// Load time of an adapter while no more than 32 are in flight.
    pub adapter_load: Duration,
    /// Whether it refuses old fencing numbers.
    pub enforces_fencing: bool,
    /// Whether it refuses loads that don't fit its memory.
    pub checks_memory: bool,
    /// Checkpoints on its disk from the start.
    pub disk_checkpoints: Vec<ModelName>,
    /// Age at which a load report is renewed.
    pub load_lag: Duration,
    /// Age of a cache event when it is first shown.
    pub event_delay: Duration,
    /// Each cache event whose number this divides is lost; 0 loses none.
    pub event_gap: u64,
}

impl Default for FakeEngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            incarnation: IncarnationId(1),
            memory_mib: 80 * 1024,
            slots: 8,
            max_waiting: 64,
            token_time: Duration::from_millis(1),
            memory_load: Duration::from_millis(20),
            disk_load: Duration::from_millis(50),
            store_load: Duration::from_millis(100),
            store: None,
            adapter_load: Duration::from_millis(5),
            enforces_fencing: true,
            checks_memory: true,
            disk_checkpoints: Vec::new(),
            load_lag: Duration::ZERO,
            event_delay: Duration::ZERO,
            event_gap: 0,
        }
    }
}
