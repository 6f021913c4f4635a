//! Logs entries of the instance list that aren't used.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use metrics::{counter, gauge};
use spdlog::warn;
use wheel_types::MonotonicTime;

use crate::{OddEntry, OddKind};

/// Maximum number of remembered entries. While there are as many, others are only counted.
const MAX_REMEMBERED: usize = 64;
/// Time after which an entry that isn't in the list any more is forgotten.
const MEMORY: Duration = Duration::from_secs(600);

const ALL_KINDS: [OddKind; 5] = [
    OddKind::Unreadable,
    OddKind::Incomplete,
    OddKind::Damaged,
    OddKind::SecondOfId,
    OddKind::SecondOfAddress,
];

/// Logs each entry once, and counts those of each read.
#[derive(Clone, Debug, Default)]
pub struct OddEntryLog {
    /// When each logged entry was last seen, by its label and reason.
    seen: HashMap<(String, String), MonotonicTime>,
}

impl OddEntryLog {
    /// Records the entries of a read. Returns those that are logged.
    pub fn record<'a>(&mut self, now: MonotonicTime, odd: &'a [OddEntry]) -> Vec<&'a OddEntry> {
        self.seen.retain(|_, seen| now.since(*seen) < MEMORY);
        let mut counts: BTreeMap<&str, usize> =
            ALL_KINDS.iter().map(|kind| (kind.as_str(), 0)).collect();
        let mut logged = Vec::new();
        for entry in odd {
            let is_full = self.seen.len() >= MAX_REMEMBERED;
            *counts.entry(entry.kind.as_str()).or_default() += 1;
            // The position changes with the entries before it.
            let label = entry.name.as_ref().map(|_| entry.label()).unwrap_or_default();
            let key = (label, entry.reason.clone());
            match self.seen.get_mut(&key) {
                Some(seen) => *seen = now,
                None if !is_full => {
                    self.seen.insert(key, now);
                    counter!("wheel_list_odd_entries_total", "kind" => entry.kind.as_str())
                        .increment(1);
                    warn!("list_entry_unused", kv: {
                        entry:? = entry.label(), kind = entry.kind.as_str(),
                        reason:? = entry.reason
                    });
                    logged.push(entry);
                }
                None => {}
            }
        }
        for (kind, count) in counts {
            gauge!("wheel_list_odd_entries", "kind" => kind).set(count as f64);
        }
        logged
    }
}
