//! A change to the models and adapters on an engine.

use std::sync::Arc;

/// The change that an order makes to the models and adapters on an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ModelChange {
    /// Load a model.
    LoadModel(Arc<str>),
    /// Unload a model with its adapters.
    UnloadModel(Arc<str>),
    /// Load an adapter of a loaded model.
    LoadAdapter(Arc<str>, Arc<str>),
    /// Unload an adapter.
    UnloadAdapter(Arc<str>, Arc<str>),
}
