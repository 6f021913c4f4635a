//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::sync::Arc;

use crate::{ConfigEntry, FleetConfig, KeyDigest};

/// One difference of a configuration from an earlier one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// An entry is new.
    Added(ConfigEntry),
    /// An entry is gone.
    Removed(ConfigEntry),
    /// A field of an entry has another value.
    Changed {
        /// The entry.
        entry: ConfigEntry,
        /// The field.
        field: &'static str,
        /// Its value in the earlier configuration.
        before: String,
        /// Its value now.
        after: String,
    },
    /// The keys of a team differ. Only their numbers are known here.
    Keys {
        /// The team.
        team: Arc<str>,
        /// The number of keys that are new in this team.
        added: usize,
        /// The number of keys that are no longer in this team.
        removed: usize,
    },
}

impl ConfigChange {
    /// The differences of `config` from `earlier`, by entry. The order of entries in a document
    /// doesn't matter.
    pub fn list(config: &FleetConfig, earlier: &FleetConfig) -> Vec<Self> {
        let (entries, mut gone) = (ConfigEntry::list(config), ConfigEntry::list(earlier));
        let mut changes = Vec::new();
        for (entry, fields) in entries {
            let Some(values) = gone.remove(&entry) else {
                changes.push(Self::Added(entry));
                continue;
            };
            for ((field, after), (_, before)) in fields.into_iter().zip(values) {
                if before != after {
                    let entry = entry.clone();
                    changes.push(Self::Changed { entry, field, before, after });
                }
            }
        }
        changes.extend(gone.into_keys().map(Self::Removed));
        changes.extend(key_changes(config, earlier));
        changes
    }
}

impl Display for ConfigChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(entry) => write!(formatter, "{entry}: added"),
            Self::Removed(entry) => write!(formatter, "{entry}: removed"),
            Self::Changed { entry, field, before, after } => {
                write!(formatter, "{entry}: {field} was {before}, is {after}")
            }
            Self::Keys { team, added, removed } => {
                write!(formatter, "team `{team}`: {added} keys added, {removed} keys removed")
            }
        }
    }
}

fn keys_by_team(config: &FleetConfig) -> BTreeMap<&Arc<str>, BTreeSet<KeyDigest>> {
    let teams = config.teams.iter().flatten();
    teams.map(|team| (&team.name, team.keys.iter().copied().collect())).collect()
}

fn key_changes(config: &FleetConfig, earlier: &FleetConfig) -> Vec<ConfigChange> {
    let (now, mut gone) = (keys_by_team(config), keys_by_team(earlier));
    let mut pairs: Vec<_> = now
        .into_iter()
        .map(|(team, keys)| {
            let before = gone.remove(team).unwrap_or_default();
            (team, keys, before)
        })
        .collect();
    pairs.extend(gone.into_iter().map(|(team, before)| (team, BTreeSet::new(), before)));
    let change = |(team, keys, before): (&Arc<str>, BTreeSet<_>, BTreeSet<_>)| {
        let (added, removed) = (keys.difference(&before).count(), before.difference(&keys).count());
        let has_change = added + removed > 0;
        has_change.then(|| ConfigChange::Keys { team: Arc::clone(team), added, removed })
    };
    pairs.into_iter().filter_map(change).collect()
}
