//! What a worker shares with its control instance.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use parking_lot::Mutex;
use wheel_types::InstanceName;

/// What a worker shares with its [`crate::ControlNode`], beside its inputs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerShared {
    /// Set before the worker is told to stop, so that it doesn't wait for a full disk.
    pub(crate) is_stopping: Arc<AtomicBool>,
    /// What an empty folder waits for, for operators.
    pub(crate) start_wait: Arc<Mutex<Option<String>>>,
    /// Contacts that the worker hasn't taken over yet.
    pub(crate) contacts: Arc<Mutex<Option<Vec<InstanceName>>>>,
}
