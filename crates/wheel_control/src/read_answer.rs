//! The answer to a linearizable read.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_agreement::StoredDocument;

/// The state at a leader that a majority confirmed after the read was requested: it includes all
/// that was committed before.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ReadAnswer {
    /// The leader's term.
    pub term: u64,
    /// The newest configuration document.
    pub document: Option<Arc<StoredDocument>>,
}
