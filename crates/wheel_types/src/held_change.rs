//! A change of what an engine holds.

use std::sync::Arc;

/// What an order changes.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum HeldChange {
    /// Load a model.
    LoadModel(Arc<str>),
    /// Unload a model with its adapters.
    UnloadModel(Arc<str>),
    /// Load an adapter of a model that is there.
    LoadAdapter(Arc<str>, Arc<str>),
    /// Unload an adapter.
    UnloadAdapter(Arc<str>, Arc<str>),
}
