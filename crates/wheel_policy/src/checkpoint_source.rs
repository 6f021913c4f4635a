//! Where a checkpoint is loaded from.

/// Where an engine loads a checkpoint from, fastest first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CheckpointSource {
    /// In the memory of the engine's host.
    Memory,
    /// On the engine's disk.
    Disk,
    /// In the weight store only.
    #[default]
    Store,
}
