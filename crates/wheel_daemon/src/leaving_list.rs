//! What the platform's list of instances and upstreams says of those that leave.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use wheel_placement::{OddEntry, OddKind};
use wheel_types::{InstanceName, MonotonicTime, RawEntries, UpstreamName};

/// Time for which an entry that says that its process leaves counts although it can't be found, while
/// there are entries without a readable name.
const HOLD_TIME: Duration = Duration::from_secs(30);

/// One entry of the list; see docs/PROTOCOLS.md.
#[derive(Clone, Debug, Deserialize)]
struct ListEntry {
    name: String,
    kind: EntryKind,
    state: EntryState,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum EntryKind {
    Instance,
    Upstream,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum EntryState {
    Live,
    Leaving,
}

/// Names an entry of the list.
type EntryKey = (EntryKind, String);

/// Remembers what the list said last. An entry that can't be read takes back nothing.
#[derive(Clone, Debug, Default)]
pub struct LeavingList {
    /// What leaves, and since when its entry hasn't been found.
    leaving: HashMap<EntryKey, Option<MonotonicTime>>,
    /// Number of entries without a readable name in the last answer.
    nameless: usize,
}

impl LeavingList {
    /// Reads an answer. Returns the entries that aren't used.
    ///
    /// # Errors
    /// Why the answer as a whole can't be read.
    pub fn read(&mut self, now: MonotonicTime, body: &[u8]) -> Result<Vec<OddEntry>, String> {
        let raw = RawEntries::split(body, None)
            .ok_or("the answer isn't a list")?
            .widen_damage(|entry| serde_json::from_slice::<Value>(entry).is_ok());
        let (mut entries, mut odd) = (Vec::new(), Vec::new());
        for (position, entry) in raw.entries.iter().enumerate() {
            match read_entry(position, entry) {
                Ok(entry) => entries.push(entry),
                Err(fault) => odd.push(fault),
            }
        }
        if let Some(damaged) = raw.damaged {
            let reason = format!("{} of {} bytes can't be split", damaged.len(), body.len());
            odd.push(OddEntry::new(raw.entries.len(), OddKind::Damaged, &reason));
            raw.salvage(|entry| {
                let entry = read_entry(0, entry);
                let is_entry = entry.is_ok();
                entries.extend(entry);
                is_entry
            });
        }
        self.merge(now, entries, &odd);
        Ok(odd)
    }

    fn merge(&mut self, now: MonotonicTime, entries: Vec<ListEntry>, odd: &[OddEntry]) {
        let nameless = odd.iter().filter(|entry| entry.name.is_none()).count();
        let hides_more = nameless > self.nameless;
        self.nameless = nameless;
        let named: HashSet<&str> = odd.iter().filter_map(|entry| entry.name.as_deref()).collect();
        let (mut listed, mut leaving) = (HashSet::new(), HashMap::new());
        for entry in entries {
            let key = (entry.kind, entry.name);
            if entry.state == EntryState::Leaving {
                leaving.insert(key.clone(), None);
            }
            listed.insert(key);
        }
        for (key, since) in std::mem::take(&mut self.leaving) {
            let is_held = match since {
                _ if listed.contains(&key) => false,
                _ if named.contains(&*key.1) => true,
                Some(since) => nameless > 0 && now.since(since) < HOLD_TIME,
                None => hides_more,
            };
            if is_held {
                leaving.insert(key, Some(since.unwrap_or(now)));
            }
        }
        self.leaving = leaving;
    }

    /// The upstreams that leave.
    pub fn upstreams(&self) -> HashSet<UpstreamName> {
        self.names(EntryKind::Upstream).map(UpstreamName::from).collect()
    }

    /// The instances that leave.
    pub fn instances(&self) -> HashSet<InstanceName> {
        self.names(EntryKind::Instance).map(InstanceName::from).collect()
    }

    fn names(&self, kind: EntryKind) -> impl Iterator<Item = &str> {
        let keys = self.leaving.keys().filter(move |(found, _)| *found == kind);
        keys.map(|(_, name)| name.as_str())
    }
}

/// Reads one entry.
///
/// # Errors
/// Why it says nothing, with its name if that can be read.
fn read_entry(position: usize, bytes: &[u8]) -> Result<ListEntry, OddEntry> {
    let odd = |kind, error: serde_json::Error| {
        let fields = RawEntries::fields_of(bytes);
        let name = fields.iter().find(|(name, _)| *name == b"name");
        let name = name.and_then(|(_, value)| serde_json::from_slice(value).ok());
        OddEntry { name, ..OddEntry::new(position, kind, &error.to_string()) }
    };
    // Everything in the entry must be readable, also the fields that aren't used.
    if let Err(error) = serde_json::from_slice::<Value>(bytes) {
        return Err(odd(OddKind::Unreadable, error));
    }
    serde_json::from_slice(bytes).map_err(|error| odd(OddKind::Incomplete, error))
}
