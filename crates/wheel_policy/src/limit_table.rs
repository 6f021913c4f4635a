//! The limits that upstreams name.

use std::collections::BTreeMap;
use std::time::Duration;

use wheel_route::{EngineId, LimitReport};
use wheel_types::MonotonicTime;

/// Maximum number of upstreams whose limits are kept.
const MAX_LIMITS: usize = 256;
/// Lowest rate at which requests are sent, per second. An upstream's answers are the only way to
/// learn that it takes requests again.
const MIN_RATE: f64 = 0.2;

/// What an upstream said last.
#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    rate: Option<f64>,
    /// When the request of that answer was sent, and when the answer was received.
    sent: MonotonicTime,
    received: MonotonicTime,
}

/// The last limit that each upstream is known to have named, from answers to this instance and from
/// those to others.
///
/// Answers may overtake each other. One counts only if its request was sent after the answer on
/// which the present value rests was received, so that an older one neither brings a limit back nor
/// ends it.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: BTreeMap<EngineId, LimitRecord>,
}

impl LimitTable {
    /// Records what an answer said whose request was sent at `sent` and which was received at
    /// `received`. Returns whether that changes the upstream's limit.
    pub fn record(
        &mut self,
        engine: &EngineId,
        rate: Option<f64>,
        (sent, received): (MonotonicTime, MonotonicTime),
    ) -> bool {
        let record = LimitRecord { rate, sent, received };
        if rate.is_some() {
            self.make_room();
        }
        let is_full = self.limits.len() >= MAX_LIMITS;
        match self.limits.get_mut(engine) {
            Some(known) if known.rate == rate || sent < known.received => return false,
            Some(known) => *known = record,
            None if rate.is_none() || is_full => return false,
            None => drop(self.limits.insert(engine.clone(), record)),
        }
        true
    }

    /// Drops a limit that has ended if there is no room for another one.
    fn make_room(&mut self) {
        if self.limits.len() >= MAX_LIMITS {
            let ended = self.limits.iter().find(|(_, known)| known.rate.is_none());
            let ended = ended.map(|(engine, _)| engine.clone());
            ended.map(|engine| self.limits.remove(&engine));
        }
    }

    /// Records what another instance reported.
    pub fn merge(&mut self, now: MonotonicTime, report: &LimitReport) -> bool {
        let sent = now.before(Duration::from_millis(report.sent_age_ms));
        let received = now.before(Duration::from_millis(report.received_age_ms));
        self.record(&report.engine, report.rate, (sent, received))
    }

    /// The requests per second that may be sent to an upstream; `None` without a limit.
    pub fn rate(&self, engine: &EngineId) -> Option<f64> {
        let rate = self.limits.get(engine)?.rate?;
        Some(rate.max(MIN_RATE))
    }

    /// The upstreams that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = &EngineId> {
        self.limits.iter().filter(|(_, known)| known.rate.is_some()).map(|(engine, _)| engine)
    }

    /// All that is known, for other instances.
    pub fn reports(&self, now: MonotonicTime) -> Vec<LimitReport> {
        let age_ms = |at: MonotonicTime| now.since(at).as_millis() as u64;
        let reports = self.limits.iter().map(|(engine, known)| LimitReport {
            engine: engine.clone(),
            rate: known.rate,
            sent_age_ms: age_ms(known.sent),
            received_age_ms: age_ms(known.received),
        });
        reports.collect()
    }

    /// Drops the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&EngineId) -> bool) {
        self.limits.retain(|engine, _| keep(engine));
    }
}
