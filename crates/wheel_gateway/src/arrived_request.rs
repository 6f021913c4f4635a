//! A received request.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use tokio::time::Instant;
use wheel_route::RouteSpec;

use crate::request_identity::RequestIdentity;
use crate::{ActiveConfig, IngressRequest};

/// A received request, with the configuration that was in force when it arrived.
pub(crate) struct ArrivedRequest {
    pub(crate) active: Arc<ActiveConfig>,
    pub(crate) route: Arc<RouteSpec>,
    pub(crate) request: IngressRequest,
    /// The team of the caller, and what upstreams are told about it.
    pub(crate) identity: RequestIdentity,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
}
