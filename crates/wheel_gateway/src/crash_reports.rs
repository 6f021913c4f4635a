//! What this instance saw of upstreams that ended under its requests.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::num::NonZeroUsize;
use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;
use wheel_route::{CrashedPart, EngineId, FleetView, SoundPart, UpstreamCrash};

use crate::PromptPart;

/// How long a crash is reported with each sync, some of which may be lost.
const REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of crashes reported at once.
const MAX_CRASHES: usize = 16;
/// Maximum number of parts reported for one crash.
const MAX_PARTS: usize = 128;
/// Number of parts of which the last good end is kept.
const SOUND_PARTS: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");
/// How long a good end is reported.
const SOUND_REPORT_TIME: Duration = Duration::from_secs(30);

/// The end of one upstream.
#[derive(Debug)]
struct SeenCrash {
    at: Instant,
    /// Position of each part, and when the last request with it was sent there.
    parts: BTreeMap<u64, (u32, Instant)>,
}

/// Upstreams that ended under requests of this instance, parts with which requests ended well, and
/// requests with barred parts.
#[derive(Debug)]
pub(crate) struct CrashReports {
    crashes: HashMap<EngineId, SeenCrash>,
    sound: LruCache<u64, Instant>,
    barred_requests: HashSet<u64>,
}

impl Default for CrashReports {
    fn default() -> Self {
        Self {
            crashes: HashMap::new(),
            sound: LruCache::new(SOUND_PARTS),
            barred_requests: HashSet::new(),
        }
    }
}

impl CrashReports {
    /// Records that an upstream closed the connection under a request, which was sent there at
    /// `sent` and has `parts` in its prompt.
    pub(crate) fn record_crash(&mut self, engine: &EngineId, sent: Instant, parts: &[PromptPart]) {
        let now = Instant::now();
        self.crashes.retain(|_, crash| now - crash.at < REPORT_TIME);
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(engine) {
            return;
        }
        let crash = self
            .crashes
            .entry(engine.clone())
            .or_insert_with(|| SeenCrash { at: now, parts: BTreeMap::new() });
        for (position, part) in (0..).zip(parts) {
            if crash.parts.len() < MAX_PARTS || crash.parts.contains_key(&part.id) {
                let known = crash.parts.entry(part.id).or_insert((position, sent));
                known.1 = known.1.max(sent);
            }
        }
    }

    /// Records that a request with `parts` in its prompt ended well.
    pub(crate) fn record_sound(&mut self, parts: &[PromptPart]) {
        let now = Instant::now();
        for part in parts {
            self.sound.put(part.id, now);
        }
    }

    /// Records that a request with a barred part came.
    pub(crate) fn record_barred_request(&mut self, part: u64) {
        self.barred_requests.insert(part);
    }

    /// The crashes of the last moments.
    pub(crate) fn crashes(&mut self) -> Vec<UpstreamCrash> {
        self.crashes.retain(|_, crash| crash.at.elapsed() < REPORT_TIME);
        let report = |(engine, crash): (&EngineId, &SeenCrash)| UpstreamCrash {
            engine: engine.clone(),
            age_ms: age_ms(crash.at),
            parts: crash
                .parts
                .iter()
                .map(|(id, (position, sent))| CrashedPart {
                    id: *id,
                    position: *position,
                    sent_age_ms: age_ms(*sent),
                })
                .collect(),
        };
        self.crashes.iter().map(report).collect()
    }

    /// The watched and barred parts of `view` with which requests ended well.
    pub(crate) fn sound_parts(&self, view: &FleetView) -> Vec<SoundPart> {
        let barred = view.barred_parts.iter().map(|part| part.id);
        let asked = view.watched_parts.iter().copied().chain(barred);
        let sound = asked.filter_map(|id| Some((id, *self.sound.peek(&id)?)));
        let recent = sound.filter(|(_, at)| at.elapsed() < SOUND_REPORT_TIME);
        recent.map(|(id, at)| SoundPart { id, age_ms: age_ms(at) }).collect()
    }

    /// The barred parts with which requests came since the last call.
    pub(crate) fn take_barred_requests(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.barred_requests).into_iter().collect()
    }
}

fn age_ms(at: Instant) -> u64 {
    u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX)
}
