//! One engine as the operators' text describes it.

use wheel_types::UpstreamName;

/// An engine that the holder may order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EngineEntry {
    /// Its name.
    pub upstream: UpstreamName,
    /// Memory for models and adapters, in mebibytes.
    pub memory_mib: u64,
    /// What it does with an old fencing number.
    pub fencing: FencingMode,
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum FencingMode {
    /// Carries it out. An engine counts as one of these unless the text says otherwise.
    #[default]
    Ignores,
    /// Refuses it.
    Enforces,
}
