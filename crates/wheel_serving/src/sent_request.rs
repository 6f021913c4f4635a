//! A request that was sent to an upstream.

use std::sync::Arc;

use tokio::time::Instant;
use wheel_types::{RequestRank, UpstreamName};

use crate::ReplicaDirectory;

/// Counts a request at its upstream until it ends, even if its caller disconnects first.
pub(crate) struct SentRequest {
    directory: Arc<ReplicaDirectory>,
    upstream: UpstreamName,
    rank: RequestRank,
    started: Instant,
    succeeded: bool,
}

impl SentRequest {
    /// Counts a request as sent.
    pub(crate) fn begin(
        directory: &Arc<ReplicaDirectory>,
        upstream: &UpstreamName,
        rank: RequestRank,
        prefix: Option<u64>,
    ) -> Self {
        directory.record_sent(upstream, rank, prefix);
        Self {
            directory: Arc::clone(directory),
            upstream: upstream.clone(),
            rank,
            started: Instant::now(),
            succeeded: true,
        }
    }

    /// Counts the request as failed by its upstream.
    pub(crate) fn fail(mut self) {
        self.succeeded = false;
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        let span = self.started.elapsed();
        self.directory.record_end(&self.upstream, self.rank, span, self.succeeded);
    }
}
