//! An instance's description of itself.

use serde::{Deserialize, Serialize};
use wheel_types::IncarnationId;

use crate::InstanceAddress;

/// An instance's description of itself. A higher incarnation, then a higher version, replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberRecord {
    /// Name, data centre and addresses.
    pub address: InstanceAddress,
    /// Distinguishes a restarted instance from the old one.
    pub incarnation: IncarnationId,
    /// Grows within an incarnation with each change and with each refuted suspicion.
    pub version: u32,
    /// True while it drains before a graceful shutdown.
    pub leaving: bool,
}

impl MemberRecord {
    /// Orders the records of one instance by age.
    pub(crate) fn stamp(&self) -> (IncarnationId, u32) {
        (self.incarnation, self.version)
    }
}
