//! Which beginnings of prompts upstreams probably hold.

use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use lru::LruCache;
use wheel_route::{EngineId, EngineInfo};
use wheel_types::MonotonicTime;

use crate::PromptChain;

/// Beginnings that are remembered; some 100 bytes each, and some ten a second are sent by an
/// instance with a tenth of a core.
const MAX_BEGINNINGS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// Upstreams that are remembered for one beginning; the latest ones.
const MAX_HOLDERS: usize = 4;
/// Upstreams with their models that are remembered.
const MAX_RESIDENTS: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();
/// Time for which an upstream with an empty memory is expected to hold what it has read. It is the
/// time in which the usual load of an engine fills its memory: 100,000 tokens, 1,500 a second.
const HOLD_TIME: Duration = Duration::from_secs(60);
/// Share of an upstream's token memory in use above which it is expected to hold nothing.
const FULL_SHARE: f64 = 0.9;
/// Upstreams that all instances prefer for one long beginning: one serves several long prompts a
/// second, and a second one takes over when the first is busy or gone.
const AGREED_UPSTREAMS: usize = 2;
/// Share of a long beginning that a preferred upstream is expected to hold by the requests that
/// other instances sent there.
const AGREED_SHARE: f64 = 0.8;

/// An upstream that was sent a beginning.
#[derive(Clone, Debug)]
struct PrefixHolder {
    engine: EngineId,
    sent: MonotonicTime,
    /// The load of the model that it was sent to.
    residence: u64,
}

/// What this instance sent lately, and to which upstreams.
///
/// The load that it answers: prompts of thousands of tokens begin alike, and each upstream that gets
/// the first of them spends some hundred milliseconds reading it.
///
/// A beginning is forgotten with the start of its upstream (whose id changes then), when the model is
/// unloaded, when the upstream's connection breaks, and after a time without use that is shorter the
/// fuller the upstream's memory is.
#[derive(Debug)]
pub struct PrefixTable {
    beginnings: LruCache<u64, Vec<PrefixHolder>>,
    /// The number of each model's load at each upstream that was sent a beginning.
    residents: LruCache<(EngineId, Arc<str>), u64>,
    next_residence: u64,
}

impl Default for PrefixTable {
    fn default() -> Self {
        Self {
            beginnings: LruCache::new(MAX_BEGINNINGS),
            residents: LruCache::new(MAX_RESIDENTS),
            next_residence: 0,
        }
    }
}

impl PrefixTable {
    /// Records that a prompt for a model was sent to an upstream.
    pub fn record(
        &mut self,
        now: MonotonicTime,
        engine: &EngineId,
        model: &Arc<str>,
        chain: &PromptChain,
    ) {
        let next = &mut self.next_residence;
        let residence =
            *self.residents.get_or_insert_mut((engine.clone(), Arc::clone(model)), || {
                *next += 1;
                *next
            });
        for (digest, _) in chain.beginnings() {
            let holders = self.beginnings.get_or_insert_mut(digest, Vec::new);
            holders.retain(|holder| holder.engine != *engine);
            holders.truncate(MAX_HOLDERS - 1);
            holders.insert(0, PrefixHolder { engine: engine.clone(), sent: now, residence });
        }
    }

    /// Forgets what an upstream was sent.
    pub fn forget(&mut self, engine: &EngineId) {
        self.retain_residents(|resident, _| resident != engine);
    }

    /// Forgets what was sent to upstreams that are gone or have unloaded the model since. A reload
    /// begins with an empty memory.
    pub fn retain_loaded(&mut self, engines: &[EngineInfo]) {
        if self.residents.is_empty() {
            return;
        }
        let listed: HashMap<&EngineId, &EngineInfo> =
            engines.iter().map(|info| (&info.id, info)).collect();
        self.retain_residents(|engine, model| {
            listed.get(engine).is_some_and(|info| info.holds(model, None))
        });
    }

    fn retain_residents(&mut self, is_kept: impl Fn(&EngineId, &str) -> bool) {
        let gone: Vec<(EngineId, Arc<str>)> = {
            let gone = self.residents.iter().filter(|((engine, model), _)| !is_kept(engine, model));
            gone.map(|(resident, _)| resident.clone()).collect()
        };
        for resident in gone {
            self.residents.pop(&resident);
        }
    }

    /// Tokens at the beginning of the prompt that an upstream probably holds by what this instance
    /// sent there. `fill` is the share of its token memory that is in use.
    pub fn sent_tokens(
        &self,
        now: MonotonicTime,
        engine: &EngineId,
        model: &Arc<str>,
        chain: &PromptChain,
        fill: f64,
    ) -> u64 {
        let Some(residence) = self.residents.peek(&(engine.clone(), Arc::clone(model))) else {
            return 0;
        };
        let hold_time = HOLD_TIME.mul_f64(free_share(fill));
        let is_held = |digest: u64| {
            let holders = self.beginnings.peek(&digest).map_or(&[][..], Vec::as_slice);
            let holder = holders.iter().find(|holder| holder.engine == *engine);
            holder.is_some_and(|holder| {
                holder.residence == *residence && now.since(holder.sent) < hold_time
            })
        };
        let held = chain.beginnings().take_while(|(digest, _)| is_held(*digest));
        held.last().map_or(0, |(_, tokens)| tokens)
    }
}

/// The upstreams that all instances prefer for the prompt, among those that have its model loaded.
pub fn agreed_upstreams<'a>(
    chain: &PromptChain,
    upstreams: impl Iterator<Item = &'a EngineId>,
) -> Vec<&'a EngineId> {
    let mut order: BTreeMap<u64, &EngineId> = BTreeMap::new();
    for engine in upstreams {
        if let Some(preference) = chain.preference(&engine.name) {
            order.insert(preference, engine);
        }
    }
    order.into_values().rev().take(AGREED_UPSTREAMS).collect()
}

/// Tokens of the prompt that a preferred upstream probably holds by what all instances sent there.
/// `fill` is the share of its token memory that is in use.
pub fn agreed_tokens(chain: &PromptChain, fill: f64) -> u64 {
    let tokens = chain.agreed_tokens().unwrap_or_default();
    (tokens as f64 * AGREED_SHARE * free_share(fill)) as u64
}

/// How much of an upstream's token memory is left for what it has read before, 0 to 1.
fn free_share(fill: f64) -> f64 {
    (1.0 - fill / FULL_SHARE).clamp(0.0, 1.0)
}
