//! One engine as the manifest describes it.

use wheel_types::UpstreamName;

/// An engine to which the holder may send orders.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EngineSpec {
    /// Its name.
    pub upstream: UpstreamName,
    /// Memory for models and adapters, in mebibytes.
    pub memory_mib: u64,
    /// How it treats an old fencing number.
    pub fencing: FencingMode,
}

/// How an engine treats an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum FencingMode {
    /// Executes it. This is assumed of an engine unless the manifest says otherwise.
    #[default]
    Ignores,
    /// Refuses it.
    Enforces,
}
