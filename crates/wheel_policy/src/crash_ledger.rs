//! Finds parts of prompts under which upstreams end.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_route::{BarredPart, EngineId, UpstreamCrash};
use wheel_types::MonotonicTime;

/// How long a crash counts.
const CRASH_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of crashes that are kept; the oldest ones are dropped.
const MAX_CRASHES: usize = 32;
/// Maximum number of parts kept for each crash.
const MAX_PARTS: usize = 128;
/// Crashes in a row that make a part suspect which hasn't been seen to end well.
const SUSPECT_CRASHES: usize = 3;
/// The same for a part with which requests ended well shortly before.
const SOUND_SUSPECT_CRASHES: usize = 5;
/// How long before its first crash a request that ended well speaks for a part.
const SOUND_LIFETIME: Duration = Duration::from_secs(10);
/// Time for which a part is watched before it may be barred: instances that have seen it end well
/// report that within two syncs and their replies.
const REPORT_TIME: Duration = Duration::from_millis(1_000);
/// How long a part stays barred after the last request with it.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// How long a part stays barred at the longest. If upstreams still end under it, it is barred again.
const MAX_BARRED_TIME: Duration = Duration::from_secs(60);

/// The end of one upstream, with the parts of the requests that were open there.
#[derive(Clone, Debug)]
struct CrashRecord {
    at: MonotonicTime,
    parts: BTreeMap<u64, PartRecord>,
}

/// A part of a request that was open at an upstream.
#[derive(Clone, Copy, Debug)]
struct PartRecord {
    position: u32,
    /// When the last request with it was sent there.
    sent: MonotonicTime,
}

/// A part whose requests aren't sent.
#[derive(Clone, Copy, Debug)]
struct BarRecord {
    since: MonotonicTime,
    /// The last request with it, or the beginning.
    requested: MonotonicTime,
}

/// Puts together what instances saw when upstreams ended, and bars the parts that explain it.
///
/// The part that ends upstreams is in a request at every upstream that ends, and no request with it
/// ends well. Requests that were open beside it break with it, so that their parts look alike at
/// first. They are told apart by requests that end well, at any instance, and by taking the fewest
/// parts that explain all crashes. Many upstreams that are lost at once count as one crash for a
/// part: only a request that was sent after a crash counts for the next one.
///
/// Holds a bounded number of crashes with a bounded number of parts.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    crashes: BTreeMap<EngineId, CrashRecord>,
    /// When a request with a part last ended well.
    sound: BTreeMap<u64, MonotonicTime>,
    barred: BTreeMap<u64, BarRecord>,
    watched: Vec<u64>,
}

impl CrashLedger {
    /// Records what an instance saw of an upstream's end. The same end may be reported repeatedly,
    /// and by several instances.
    pub fn record_crash(&mut self, now: MonotonicTime, crash: &UpstreamCrash) {
        let at = now.before(Duration::from_millis(crash.age_ms));
        let record = self
            .crashes
            .entry(crash.engine.clone())
            .or_insert_with(|| CrashRecord { at, parts: BTreeMap::new() });
        record.at = record.at.min(at);
        for part in &crash.parts {
            let sent = now.before(Duration::from_millis(part.sent_age_ms));
            if record.parts.len() < MAX_PARTS || record.parts.contains_key(&part.id) {
                let kept = PartRecord { position: part.position, sent };
                let known = record.parts.entry(part.id).or_insert(kept);
                known.sent = known.sent.max(sent);
            }
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, record)| record.at);
            let Some(oldest) = oldest.map(|(engine, _)| engine.clone()) else { break };
            self.crashes.remove(&oldest);
        }
    }

    /// Records that a request with a part ended well `age` ago.
    pub fn record_sound(&mut self, now: MonotonicTime, part: u64, age: Duration) {
        if self.crashes.values().any(|record| record.parts.contains_key(&part)) {
            let at = now.before(age);
            let sound = self.sound.entry(part).or_insert(at);
            *sound = (*sound).max(at);
        }
        // A request that was sent before the part was barred may still end well.
        self.barred.retain(|barred, record| *barred != part || now.before(age) <= record.since);
    }

    /// Records that a request with a barred part came.
    pub fn record_request(&mut self, now: MonotonicTime, part: u64) {
        if let Some(record) = self.barred.get_mut(&part) {
            record.requested = now;
        }
    }

    /// Takes over the parts that another instance, which knows more, has barred.
    pub fn replace_barred(&mut self, now: MonotonicTime, barred: &[BarredPart]) {
        let record = |part: &BarredPart| {
            let since = now.before(Duration::from_millis(part.age_ms));
            (part.id, BarRecord { since, requested: now })
        };
        self.barred = barred.iter().map(record).collect();
    }

    /// Drops what is too old, bars the parts that explain the crashes, and returns those that have
    /// been barred by this call.
    pub fn update(&mut self, now: MonotonicTime) -> Vec<u64> {
        self.crashes.retain(|_, record| now.since(record.at) < CRASH_LIFETIME);
        let crashes = &self.crashes;
        self.sound.retain(|part, at| {
            now.since(*at) < CRASH_LIFETIME
                && crashes.values().any(|record| record.parts.contains_key(part))
        });
        self.barred.retain(|_, record| {
            now.since(record.requested) < QUIET_TIME && now.since(record.since) < MAX_BARRED_TIME
        });
        let rows = self.rows(|_| true).into_iter().filter(|(_, row)| row.count > 1);
        self.watched = rows.map(|(part, _)| part).take(MAX_PARTS).collect();
        let mut added = Vec::new();
        while let Some(part) = self.next_suspect(now) {
            self.barred.insert(part, BarRecord { since: now, requested: now });
            added.push(part);
        }
        added
    }

    /// The parts of several crashes in a row, of which instances report when requests with them end
    /// well.
    pub fn watched(&self) -> &[u64] {
        &self.watched
    }

    /// The parts that are barred.
    pub fn barred(&self, now: MonotonicTime) -> Vec<BarredPart> {
        let barred = self.barred.iter().map(|(part, record)| BarredPart {
            id: *part,
            age_ms: u64::try_from(now.since(record.since).as_millis()).unwrap_or(u64::MAX),
        });
        barred.collect()
    }

    /// The part that explains the most crashes which no barred part explains, if these are enough.
    fn next_suspect(&self, now: MonotonicTime) -> Option<u64> {
        let is_open = |record: &CrashRecord| {
            !self.barred.keys().any(|barred| record.parts.contains_key(barred))
        };
        let suspects = self.rows(is_open).into_iter().filter_map(|(part, row)| {
            let sound = self.sound.get(&part);
            let was_sound = sound.is_some_and(|sound| row.first.since(*sound) < SOUND_LIFETIME);
            let needed = if was_sound { SOUND_SUSPECT_CRASHES } else { SUSPECT_CRASHES };
            let is_reported = row.watched.is_some_and(|since| now.since(since) >= REPORT_TIME);
            (row.count >= needed && is_reported).then_some((
                row.count,
                !was_sound,
                row.position,
                part,
            ))
        });
        suspects.max().map(|(.., part)| part)
    }

    /// The row of crashes of each part, among those that are counted.
    fn rows(&self, is_counted: impl Fn(&CrashRecord) -> bool) -> BTreeMap<u64, CrashRow> {
        let mut records: Vec<&CrashRecord> =
            self.crashes.values().filter(|record| is_counted(record)).collect();
        records.sort_unstable_by_key(|record| record.at);
        let mut rows: BTreeMap<u64, CrashRow> = BTreeMap::new();
        for record in records {
            for (part, known) in &record.parts {
                if self.sound.get(part).is_some_and(|sound| record.at <= *sound) {
                    continue;
                }
                match rows.get_mut(part) {
                    Some(row) if known.sent > row.last => row.extend(record.at),
                    Some(_) => {}
                    None => drop(rows.insert(*part, CrashRow::begin(known.position, record.at))),
                }
            }
        }
        rows
    }
}

/// Crashes in a row for a part since a request with it last ended well, each under a request that
/// was sent after the crash before.
#[derive(Clone, Copy, Debug)]
struct CrashRow {
    position: u32,
    count: usize,
    first: MonotonicTime,
    last: MonotonicTime,
    /// When the second one was, from which on the part is watched.
    watched: Option<MonotonicTime>,
}

impl CrashRow {
    fn begin(position: u32, at: MonotonicTime) -> Self {
        Self { position, count: 1, first: at, last: at, watched: None }
    }

    fn extend(&mut self, at: MonotonicTime) {
        self.count += 1;
        self.last = at;
        self.watched.get_or_insert(at);
    }
}
