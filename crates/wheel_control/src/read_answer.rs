//! The answer to a linearizable read.

use serde::{Deserialize, Serialize};

/// The state at a leader that a majority confirmed after the read was requested: it includes all
/// that was committed before.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ReadAnswer {
    /// The leader's term.
    pub term: u64,
    /// The version of the newest configuration document; 0 without one. The document itself may be
    /// large, and each control instance holds it.
    pub version: u64,
}
