//! The answer to a read that sees all that was committed before it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wheel_agreement::StoredDocument;

/// What a leader knows for sure, confirmed by a majority after the read was asked for.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ReadAnswer {
    /// The leader's term.
    pub term: u64,
    /// The newest configuration document.
    pub document: Option<Arc<StoredDocument>>,
}
