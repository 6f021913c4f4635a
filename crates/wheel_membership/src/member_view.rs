//! The live instances.

use std::collections::BTreeMap;

use wheel_types::{CentreName, IncarnationId, InstanceName};

use crate::InstanceAddress;

/// The live instances of the own data centre and a few contacts in each other one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberView {
    /// By data centre, then by name.
    pub centres: BTreeMap<CentreName, Vec<LiveMember>>,
}

/// One instance of a [`MemberView`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveMember {
    /// Name, data centre and addresses.
    pub address: InstanceAddress,
    /// Its incarnation; `None` for contacts in other data centres.
    pub incarnation: Option<IncarnationId>,
    /// True if it gets no new work.
    pub leaving: bool,
    /// True while it doesn't answer but isn't considered dead yet.
    pub suspect: bool,
}

impl MemberView {
    /// The instances shown for `centre`, by name.
    pub fn centre(&self, centre: &CentreName) -> &[LiveMember] {
        self.centres.get(centre).map_or(&[], Vec::as_slice)
    }

    /// The instance called `name`, wherever it is.
    pub fn find(&self, name: &InstanceName) -> Option<&LiveMember> {
        self.centres.values().flatten().find(|member| &member.address.name == name)
    }
}
