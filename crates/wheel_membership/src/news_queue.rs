//! Changes that wait to be passed on.

use std::collections::BTreeMap;

use wheel_types::InstanceName;

use crate::MemberUpdate;

/// The latest news of each member, passed on a limited number of times, least often told first.
#[derive(Clone, Debug, Default)]
pub(crate) struct NewsQueue {
    items: BTreeMap<InstanceName, QueuedNews>,
}

#[derive(Clone, Debug)]
struct QueuedNews {
    news: MemberUpdate,
    told: u32,
}

impl NewsQueue {
    /// Queues `news` in place of earlier news of the same member.
    pub(crate) fn push(&mut self, news: MemberUpdate) {
        self.items.insert(news.name().clone(), QueuedNews { news, told: 0 });
    }

    /// Takes up to `limit` news for one message; each is told `times` times in all.
    pub(crate) fn take(&mut self, limit: usize, times: u32) -> Vec<MemberUpdate> {
        let mut order: Vec<(u32, InstanceName)> =
            self.items.iter().map(|(name, item)| (item.told, name.clone())).collect();
        order.sort();
        let mut taken = Vec::new();
        for (_, name) in order.into_iter().take(limit) {
            if let Some(item) = self.items.get_mut(&name) {
                item.told += 1;
                taken.push(item.news.clone());
            }
        }
        self.items.retain(|_, item| item.told < times);
        taken
    }

    /// How often each news is told so that it reaches all of `members` with near certainty.
    pub(crate) fn times(members: usize) -> u32 {
        3 * (usize::BITS - members.leading_zeros()).max(1)
    }
}
