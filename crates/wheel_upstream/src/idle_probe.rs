//! Probes of idle connections.

use bytes::Bytes;
use http::{HeaderMap, Request};
use wheel_types::RequestId;

/// Builds the probes of one upstream's idle connections and reads the ids of their answers.
pub(crate) trait IdleProbe: Send + Sync + 'static {
    /// A request that a live upstream answers at once, with `id` as the id of the answer; with
    /// `None`, idle connections are closed instead of probed.
    fn request(&self, id: &RequestId) -> Option<Request<Bytes>>;

    /// The id of the probe that an answer belongs to.
    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;
}
