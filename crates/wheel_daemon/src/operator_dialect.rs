//! The protocol of operators and the load balancer.

use http::request::Parts;

/// A call, identified by its method and path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatorCall {
    /// Submit a configuration.
    PutConfig,
    /// Get the newest configuration.
    GetConfig,
    /// Get whether the instance accepts callers.
    Readiness,
    /// Get the metrics.
    Metrics,
    /// Anything else.
    Unknown,
}

/// Recognizes calls.
pub trait OperatorDialect: Send + Sync + 'static {
    /// The call that a request makes.
    fn read(&self, head: &Parts) -> OperatorCall;
}
