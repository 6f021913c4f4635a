//! What operators and the balancer ask an instance.

use http::request::Parts;

/// A call, by its method and path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatorCall {
    /// Take a configuration over.
    PutConfig,
    /// Tell the newest configuration.
    GetConfig,
    /// Tell whether callers should come here.
    Readiness,
    /// Show the metrics.
    Metrics,
    /// Anything else.
    Unknown,
}

/// Reads calls.
pub trait OperatorDialect: Send + Sync + 'static {
    /// What a request asks for.
    fn read(&self, head: &Parts) -> OperatorCall;
}
