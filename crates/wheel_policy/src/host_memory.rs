//! Space for checkpoints in the memory of an engine's host.

use wheel_types::ModelName;

/// Learns how much a host's memory holds: without a limit until a checkpoint has left it, then the
/// most that it held at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostMemory {
    checkpoints: Vec<ModelName>,
    most_mib: u64,
    has_evicted: bool,
}

impl HostMemory {
    /// Records the checkpoints that the memory holds now.
    pub(crate) fn observe(
        &mut self,
        checkpoints: &[ModelName],
        size_mib: impl Fn(&ModelName) -> u64,
    ) {
        self.has_evicted |= self.checkpoints.iter().any(|model| !checkpoints.contains(model));
        self.most_mib = self.most_mib.max(checkpoints.iter().map(size_mib).sum());
        if self.checkpoints != checkpoints {
            self.checkpoints = checkpoints.to_vec();
        }
    }

    /// Expected space, in mebibytes.
    pub(crate) fn space_mib(&self) -> u64 {
        if self.has_evicted { self.most_mib } else { u64::MAX }
    }
}
