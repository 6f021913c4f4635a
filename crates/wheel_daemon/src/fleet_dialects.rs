//! The external protocols of a fleet with service discovery.

use std::sync::Arc;

use wheel_gateway::IngressDialect;
use wheel_placement::{ConfigDialect, FleetDialect};
use wheel_upstream::ServiceDialect;

use crate::OperatorDialect;

/// One dialect for each external interface.
#[derive(Clone)]
pub struct FleetDialects {
    /// Callers.
    pub ingress: Arc<dyn IngressDialect>,
    /// Upstreams' answers.
    pub upstream: Arc<dyn ServiceDialect>,
    /// The list, reports and orders.
    pub fleet: Arc<dyn FleetDialect>,
    /// Configurations.
    pub config: Arc<dyn ConfigDialect>,
    /// Operators and the load balancer.
    pub operator: Arc<dyn OperatorDialect>,
}
