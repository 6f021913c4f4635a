//! A caller's request, checked and typed.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use tokio::time::Instant;
use wheel_types::{AdapterName, CallerName, ModelName, RequestId, RequestRank, ServiceName};

/// Generation by a model behind an OpenAI path.
#[derive(Clone, Debug)]
pub struct GenerateTarget {
    /// The path, for example `/v1/chat/completions`.
    pub path: Arc<str>,
    /// The model.
    pub model: ModelName,
    /// The adapter, if one is named.
    pub adapter: Option<AdapterName>,
    /// Whether the caller wants a stream.
    pub stream: bool,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct PlainTarget {
    /// The method.
    pub method: Method,
    /// Path and query as the service sees them, without the service's prefix.
    pub path: Arc<str>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whether the call may be sent more than once.
    pub repeatable: bool,
}

/// What the request asks for.
#[derive(Clone, Debug)]
pub enum RequestTarget {
    /// Generation by a model.
    Generate(GenerateTarget),
    /// A plain service.
    Plain(PlainTarget),
}

/// One request as the rest of the system sees it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id, chosen here.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// Its rank.
    pub rank: RequestRank,
    /// What it asks for.
    pub target: RequestTarget,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// When it arrived.
    pub arrival: Instant,
    /// When the first byte of its answer is due.
    pub deadline: Instant,
    /// Its body.
    pub body: Bytes,
}
