//! Settings of the fake engine.

use std::net::SocketAddr;
use std::time::Duration;

use wheel_types::{IncarnationId, ModelName};

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct FakeEngineSettings {
    /// Listen address; port 0 selects a free port.
    pub address: SocketAddr,
    /// Its first incarnation.
    pub incarnation: IncarnationId,
    /// Memory for models and adapters, in mebibytes.
    pub memory_mib: u64,
    /// Maximum number of running calls.
    pub slots: usize,
    /// Maximum number of waiting calls.
    pub max_waiting: usize,
    /// Time per token.
    pub token_time: Duration,
    /// Load time of a checkpoint from the host's memory, and time to unload a model.
    pub memory_load: Duration,
    /// Load time of a checkpoint from the local disk.
    pub disk_load: Duration,
    /// Load time of a checkpoint from the store, in addition to the time that the store takes.
    pub store_load: Duration,
    /// Address of the weight store; without one, only the times above apply.
    pub store: Option<SocketAddr>,
    /// Load time of an adapter while no more than 32 loads are in flight.
    pub adapter_load: Duration,
    /// Whether it refuses old fencing numbers.
    pub enforces_fencing: bool,
    /// Whether it refuses loads that don't fit its memory.
    pub checks_memory: bool,
    /// Checkpoints that are on its disk from the start.
    pub disk_checkpoints: Vec<ModelName>,
    /// Age at which a load report is refreshed.
    pub load_lag: Duration,
    /// Delay until a cache event becomes visible.
    pub event_delay: Duration,
    /// Every cache event whose number is a multiple of this is lost; 0 loses none.
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
