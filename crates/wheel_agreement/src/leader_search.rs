//! Whom to ask for the leader, beyond the members that the log names.

use std::collections::BTreeSet;

use wheel_types::InstanceName;

/// Instances that may know the leader of the group.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct LeaderSearch {
    /// Instances that the driver knows of.
    contacts: Vec<InstanceName>,
    /// Instances that others named as the leader since the last question.
    named: BTreeSet<InstanceName>,
}

impl LeaderSearch {
    /// The most instances in `named`; wrong ones make way at the next question.
    const MAX_NAMED: usize = 16;

    pub(crate) fn set_contacts(&mut self, contacts: Vec<InstanceName>) {
        self.contacts = contacts;
    }

    /// Records that `instance` was named as the leader.
    pub(crate) fn record_leader(&mut self, instance: InstanceName) {
        if self.named.len() < Self::MAX_NAMED {
            self.named.insert(instance);
        }
    }

    /// An instance that was named as the leader.
    pub(crate) fn named_leader(&self) -> Option<&InstanceName> {
        self.named.first()
    }

    /// Whom to ask now. Each instance that was named is asked once, unless it is named again: two
    /// that name each other don't keep the question going between them.
    pub(crate) fn take_targets(&mut self) -> BTreeSet<InstanceName> {
        let mut targets = std::mem::take(&mut self.named);
        targets.extend(self.contacts.iter().cloned());
        targets
    }

    /// Ends the search.
    pub(crate) fn clear(&mut self) {
        self.named.clear();
    }
}
