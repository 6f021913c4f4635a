//! Instances of other data centres.

use std::collections::BTreeMap;

use wheel_types::{InstanceName, MonotonicTime};

use crate::owner_map::weight;
use crate::{ListedInstance, LiveMember, MemberView};

/// The platform's list of other data centres, of which a few instances are used as contacts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ContactList {
    listed: BTreeMap<InstanceName, ListedInstance>,
    failed: BTreeMap<InstanceName, MonotonicTime>,
}

impl ContactList {
    /// Replaces the list; failures of instances that are still listed are kept.
    pub(crate) fn replace(&mut self, now: MonotonicTime, listed: Vec<ListedInstance>) {
        let named = listed.into_iter().map(|listed| (listed.address.name.clone(), listed));
        self.listed = named.collect();
        let listed = &self.listed;
        self.failed.retain(|name, until| now < *until && listed.contains_key(name));
    }

    /// Uses others instead of `name` until `until`.
    pub(crate) fn mark_failed(&mut self, name: InstanceName, until: MonotonicTime) {
        if self.listed.contains_key(&name) {
            self.failed.insert(name, until);
        }
    }

    /// Adds up to `count` instances of each data centre to `view`; the choice depends on
    /// `own_name`.
    pub(crate) fn add_contacts(
        &self,
        now: MonotonicTime,
        own_name: &InstanceName,
        count: usize,
        view: &mut MemberView,
    ) {
        let mut listed: Vec<&ListedInstance> = self.listed.values().collect();
        listed.sort_by_key(|listed| {
            let name = &listed.address.name;
            (self.is_failed(now, name), listed.leaving, weight(own_name.as_str(), name.as_str()))
        });
        for listed in listed {
            let contacts = view.centres.entry(listed.address.centre.clone()).or_default();
            if contacts.len() < count {
                contacts.push(LiveMember {
                    address: listed.address.clone(),
                    incarnation: None,
                    leaving: listed.leaving,
                    suspect: self.is_failed(now, &listed.address.name),
                });
            }
        }
    }

    fn is_failed(&self, now: MonotonicTime, name: &InstanceName) -> bool {
        self.failed.get(name).is_some_and(|until| now < *until)
    }
}
