//! The other members of the own data centre.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_types::{InstanceName, MonotonicTime};

use crate::member_entry::{MemberEntry, MemberPhase};
use crate::seeded_random::SeededRandom;
use crate::{InstanceAddress, MemberSettings, MemberUpdate};

/// All other members and the random order in which they are probed.
#[derive(Clone, Debug)]
pub(crate) struct MemberRoster {
    /// By name.
    pub(crate) members: BTreeMap<InstanceName, MemberEntry>,
    random: SeededRandom,
    probe_order: Vec<InstanceName>,
    periods: u64,
}

impl MemberRoster {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            members: BTreeMap::new(),
            random: SeededRandom::new(seed),
            probe_order: Vec::new(),
            periods: 0,
        }
    }

    /// The addresses of the member called `name`.
    pub(crate) fn address(&self, name: &InstanceName) -> Option<InstanceAddress> {
        self.members.get(name).map(|entry| entry.record.address.clone())
    }

    /// Addresses of up to `count` members that satisfy `wanted`, in random order.
    pub(crate) fn pick(
        &mut self,
        count: usize,
        wanted: impl Fn(&MemberEntry) -> bool,
    ) -> Vec<InstanceAddress> {
        let entries = self.members.values().filter(|entry| wanted(entry));
        let mut picked: Vec<_> = entries.map(|entry| entry.record.address.clone()).collect();
        self.random.shuffle(&mut picked);
        picked.truncate(count);
        picked
    }

    /// The member to probe in the next period: each active one once per round, in random order;
    /// from time to time one that isn't active, so that members that were cut off from each other
    /// reconnect.
    pub(crate) fn next_target(&mut self) -> Option<InstanceName> {
        self.periods += 1;
        let alone = !self.members.values().any(MemberEntry::is_active);
        if alone || self.periods.is_multiple_of(ABSENT_PROBE_PERIODS) {
            let absent = self.pick(1, |entry| {
                matches!(entry.phase, MemberPhase::Unconfirmed | MemberPhase::Dead)
            });
            if let Some(address) = absent.into_iter().next() {
                return Some(address.name);
            }
        }
        if self.probe_order.is_empty() {
            let active = self.members.iter().filter(|(_, entry)| entry.is_active());
            self.probe_order = active.map(|(name, _)| name.clone()).collect();
            self.random.shuffle(&mut self.probe_order);
        }
        let members = &self.members;
        self.probe_order.retain(|name| members.get(name).is_some_and(MemberEntry::is_active));
        self.probe_order.pop()
    }

    /// Declares members dead that haven't refuted a suspicion in time, and returns the updates.
    pub(crate) fn expire_suspicions(
        &mut self,
        now: MonotonicTime,
        settings: &MemberSettings,
    ) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for entry in self.members.values_mut() {
            match entry.phase {
                MemberPhase::Suspect(until) if now >= until => {
                    entry.enter(now, MemberPhase::Dead);
                    updates.extend(entry.update());
                }
                MemberPhase::Alive if now.since(entry.since) >= settings.flap_reset_after => {
                    entry.flaps = 0;
                }
                _ => {}
            }
        }
        updates
    }

    /// When the next suspicion expires.
    pub(crate) fn next_suspicion_expiry(&self) -> Option<MonotonicTime> {
        let suspicions = self.members.values().filter_map(|entry| match entry.phase {
            MemberPhase::Suspect(until) => Some(until),
            _ => None,
        });
        suspicions.min()
    }

    /// Restarts the timers of all suspicions.
    pub(crate) fn restart_suspicions(&mut self, until: MonotonicTime) {
        for entry in self.members.values_mut() {
            if let MemberPhase::Suspect(old) = &mut entry.phase {
                *old = until;
            }
        }
    }

    /// Drops members that have been gone for `limit` and that the platform no longer lists.
    pub(crate) fn remove_gone(&mut self, now: MonotonicTime, limit: Duration) {
        self.members
            .retain(|_, entry| entry.is_active() || entry.listed || now.since(entry.since) < limit);
    }
}

/// Once in this many periods an absent member is probed instead of an active one.
const ABSENT_PROBE_PERIODS: u64 = 4;
