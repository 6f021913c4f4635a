//! A promise that was broken.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::SoakPromise;

/// A promise that was broken, and how it was seen.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct PromiseViolation {
    /// The promise.
    pub promise: SoakPromise,
    /// When, since the run began.
    pub at: Duration,
    /// Requests, processes, upstreams and holders that it concerns.
    pub ids: Vec<Arc<str>>,
    /// What was seen, in words.
    pub line: String,
}

impl PromiseViolation {
    pub(crate) fn new(
        promise: SoakPromise,
        at: Duration,
        ids: &[&Arc<str>],
        line: impl Into<String>,
    ) -> Self {
        Self { promise, at, ids: ids.iter().map(|id| Arc::clone(id)).collect(), line: line.into() }
    }
}
