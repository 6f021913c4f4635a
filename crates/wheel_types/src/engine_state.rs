//! The state that an engine reports about itself.

use serde::{Deserialize, Serialize};

use crate::{EngineRole, FencingNumber, IncarnationId, ModelName, ModelState, RequestId};

/// The response body of `GET /engine/v1/state`, read by owners and by the lease holder.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineState {
    /// The engine process's incarnation; a different one means that its memory was lost.
    pub incarnation: IncarnationId,
    /// The highest fencing number that it has seen; 0 from engines that ignore fencing numbers.
    pub fencing_number: FencingNumber,
    /// Its role.
    pub role: EngineRole,
    /// True while it is leaving and refuses new work.
    pub leaving: bool,
    /// Memory for models and adapters, in mebibytes.
    pub memory_mib: u64,
    /// Models that occupy memory, in any phase.
    pub models: Vec<ModelState>,
    /// Checkpoints held in its host's memory.
    pub memory_checkpoints: Vec<ModelName>,
    /// Checkpoints held on its local disk.
    pub disk_checkpoints: Vec<ModelName>,
    /// Requests that run or wait inside it.
    pub running: Vec<RequestId>,
    /// Ids of the most recent orders that it carried out or refused, oldest first; bounded.
    pub recent_orders: Vec<RequestId>,
}

impl EngineState {
    /// Memory occupied by models and adapters in any phase, in mebibytes.
    pub fn used_mib(&self) -> u64 {
        self.models.iter().map(ModelState::total_mib).sum()
    }

    /// The state of `model`, in any phase.
    pub fn find(&self, model: &ModelName) -> Option<&ModelState> {
        self.models.iter().find(|state| &state.model == model)
    }
}

impl ModelState {
    /// Memory of the model and its adapters, in mebibytes.
    pub fn total_mib(&self) -> u64 {
        self.memory_mib + self.adapters.iter().map(|adapter| adapter.memory_mib).sum::<u64>()
    }
}
