//! Settings of the way of a request.

use std::sync::Arc;

/// What an entry serves requests with.
#[derive(Clone, Debug)]
pub struct PathSettings {
    /// The entry's data centre.
    pub centre: Arc<str>,
    /// Second sends that are allowed for each request.
    pub retry_share: f64,
    /// Second sends that are saved up at most.
    pub retry_reserve: f64,
}
