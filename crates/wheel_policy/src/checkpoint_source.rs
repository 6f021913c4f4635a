//! Where a checkpoint is loaded from.

/// Where a checkpoint lies, seen from an engine; nearer is faster.
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
