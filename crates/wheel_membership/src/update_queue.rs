//! Queue of updates to pass on.

use std::collections::BTreeMap;

use wheel_types::InstanceName;

use crate::MemberUpdate;

/// The latest update of each member, sent a limited number of times, least often sent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    items: BTreeMap<InstanceName, QueuedUpdate>,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: MemberUpdate,
    sent_count: u32,
}

impl UpdateQueue {
    /// Queues `update`, which replaces an earlier one of the same member.
    pub(crate) fn push(&mut self, update: MemberUpdate) {
        self.items.insert(update.name().clone(), QueuedUpdate { update, sent_count: 0 });
    }

    /// Takes up to `limit` updates for one message; each is sent `max_sends` times in all.
    pub(crate) fn take(&mut self, limit: usize, max_sends: u32) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, InstanceName)> =
            self.items.iter().map(|(name, item)| (item.sent_count, name.clone())).collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, name) in order.into_iter().take(limit) {
            if let Some(item) = self.items.get_mut(&name) {
                item.sent_count += 1;
                taken.push(item.update.clone());
            }
        }
        self.items.retain(|_, item| item.sent_count < max_sends);
        taken
    }

    /// How often each update is sent so that it reaches all of `members` with near certainty.
    pub(crate) fn max_sends(members: usize) -> u32 {
        3 * (usize::BITS - members.leading_zeros()).max(1)
    }
}
