//! Identity and holder of a claim.

use serde::{Deserialize, Serialize};
use wheel_types::{CallerName, IncarnationId, InstanceName, RequestId, ServiceName};

use crate::IdempotencyKey;

/// A call that must not run twice. Service first, so that claims can be split by service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ClaimId {
    /// The service that is called.
    pub service: ServiceName,
    /// Who calls it; keys are scoped to the caller.
    pub caller: CallerName,
    /// The caller's key.
    pub key: IdempotencyKey,
}

/// Who may send a claimed call.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ClaimHolder {
    /// The ingress instance.
    pub instance: InstanceName,
    /// The incarnation of its process that made the claim.
    pub incarnation: IncarnationId,
    /// The request under which it sends the call; a new one for every claim, so that a late
    /// command of an earlier claim can't touch a later one.
    pub request: RequestId,
}
