//! Identity of a lease candidate.

use serde::{Deserialize, Serialize};
use wheel_types::{IncarnationId, InstanceName};

/// One process of an instance, as a holder or candidate. A restarted instance has another id, so
/// that it never takes its predecessor's lease for its own.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct HolderId {
    /// The instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}
