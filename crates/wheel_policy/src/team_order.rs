//! Order of teams within one rank.

use std::collections::HashMap;
use std::sync::Arc;

/// Number of teams kept before those that aren't ahead of the others are dropped.
const MAX_TEAMS: usize = 1_024;

/// Start-time fair queueing among teams by cost. Unlike [`crate::rank_queue::RankQueue`], which one
/// engine drains, a team whose requests find no room may be passed over without losing its turn.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamOrder {
    /// The virtual time at which each team's next request starts.
    tags: HashMap<Option<Arc<str>>, u64>,
    virtual_time: u64,
}

impl TeamOrder {
    /// The virtual time at which the team's next request starts; the lowest goes first.
    pub(crate) fn tag(&self, team: &Option<Arc<str>>) -> u64 {
        self.tags.get(team).copied().unwrap_or(0).max(self.virtual_time)
    }

    /// The tag of a team that has been waiting, which keeps what it is owed.
    pub(crate) fn waiting_tag(&self, team: &Option<Arc<str>>) -> u64 {
        self.tags.get(team).copied().unwrap_or(self.virtual_time)
    }

    /// Has a team whose first request begins to wait start at the present virtual time.
    pub(crate) fn begin_waiting(&mut self, team: &Option<Arc<str>>) {
        let tag = self.tag(team);
        self.tags.insert(team.clone(), tag);
    }

    /// Charges a request that is sent. `is_waiting` is whether it waited here.
    pub(crate) fn charge(&mut self, team: &Option<Arc<str>>, cost: u64, is_waiting: bool) {
        let start = if is_waiting { self.waiting_tag(team) } else { self.tag(team) };
        self.virtual_time = self.virtual_time.max(start);
        self.tags.insert(team.clone(), start.saturating_add(cost.max(1)));
        if self.tags.len() > MAX_TEAMS {
            self.tags.retain(|_, tag| *tag > self.virtual_time);
        }
    }
}
