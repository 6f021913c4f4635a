//! A change of a member that is passed on.

use serde::{Deserialize, Serialize};
use wheel_types::{IncarnationId, InstanceName};

use crate::MemberRecord;

/// One change of a member, carried by any message.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum MemberUpdate {
    /// The member's own record: it is alive.
    Alive(MemberRecord),
    /// A report of others, which is only about this incarnation and version of the member.
    Reported {
        /// The member.
        name: InstanceName,
        /// Its incarnation.
        incarnation: IncarnationId,
        /// Its version.
        version: u32,
        /// What is reported.
        kind: UpdateKind,
    },
}

/// What others report of a member.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub enum UpdateKind {
    /// It doesn't answer; it may refute this with a higher version.
    Suspect,
    /// It hasn't refuted a suspicion in time.
    Dead,
    /// It has shut down gracefully; final for the incarnation.
    Left,
}

impl MemberUpdate {
    /// The member that the update is about.
    pub fn name(&self) -> &InstanceName {
        match self {
            Self::Alive(record) => &record.address.name,
            Self::Reported { name, .. } => name,
        }
    }
}
