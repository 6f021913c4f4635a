//! The instances that grant a data centre's lease.

use std::collections::BTreeSet;

use wheel_types::InstanceName;

/// The grantors as committed in the replicated log.
///
/// The set changes by one member at a time, and the next change is committed only after a lease
/// was held under the previous set, as [`LeaseAuthority::epoch`](crate::LeaseAuthority::epoch)
/// shows. Then any majority of an outdated set contains a grantor that refuses that set.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct GrantorSet {
    /// Increases with each change of the set.
    pub epoch: u64,
    /// The members.
    pub members: BTreeSet<InstanceName>,
}

impl GrantorSet {
    /// True if `granted` contains more than half of the members.
    pub fn is_majority(&self, granted: &BTreeSet<InstanceName>) -> bool {
        let count = self.members.intersection(granted).count();
        count > self.members.len() / 2
    }

    /// True if `next` may follow this set: its epoch is higher and at most one member differs.
    pub fn may_precede(&self, next: &Self) -> bool {
        let changed = self.members.symmetric_difference(&next.members).count();
        next.epoch > self.epoch && changed <= 1 && !next.members.is_empty()
    }
}
