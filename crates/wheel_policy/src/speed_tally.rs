//! Measures how fast upstreams answer the requests of one instance.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{EngineId, RateReport, SpeedReport};
use wheel_types::MonotonicTime;

/// Time of a wait relative to the expected one above which it counts as late.
const LATE_RATIO: f64 = 2.0;
/// The same for a wait that hasn't ended: an upstream that is silent has to be known before the next
/// requests go there, but one that is only a little late needn't be.
const OVERDUE_RATIO: f64 = 4.0;
/// Shortest wait that counts as late. Instances with a tenth of a core, and sound upstreams, are late
/// by less.
const MIN_LATE: Duration = Duration::from_millis(150);
/// Shortest wait that counts as overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(300);
/// Logarithm of the highest ratio that one wait counts with, 20.
const MAX_LOG: f64 = 3.0;
/// Expected wait where nothing has been measured, in milliseconds.
const UNMEASURED_MS: f64 = 300.0;
/// Wait relative to the expected one up to which it changes the usual rates of its service.
const MAX_RATE_RATIO: f64 = 3.0;
/// Time without a read after which a pause is that of a slow caller rather than of the upstream.
const PROMPT_READ: Duration = Duration::from_millis(20);
/// Events of one upstream below which they aren't reported yet; reports name their upstreams, which
/// costs more bytes than the counts.
const MIN_REPORTED_PAUSES: u32 = 4;
/// Share of the upstreams of a report above which lateness is that of this instance or its network,
/// as far as there are [`MIN_COMPARED`].
const MAX_LATE_SHARE: f64 = 0.5;
/// Upstreams below which a report says nothing about the instance.
const MIN_COMPARED: usize = 4;
/// Maximum number of upstreams in one report.
const MAX_REPORTED: usize = 64;

/// What is known of a request when it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct SendStart {
    /// The upstream.
    pub engine: EngineId,
    /// Its service.
    pub service: Arc<str>,
    /// Expected time to the first event, in milliseconds, if known.
    pub expected_ms: Option<f64>,
    /// Usual time between two events, in milliseconds; 0 if unknown.
    pub pause_ms: f64,
    /// How much longer the upstream takes than an idle one of the usual speed.
    pub stretch: f64,
    /// Its speed relative to the usual one.
    pub speed: f64,
    /// Tokens of the prompt that it has to read.
    pub unread_tokens: u64,
    /// Whether the request finds a free slot.
    pub has_slot: bool,
}

/// A request that was sent and hasn't ended.
#[derive(Debug)]
struct OpenSend {
    start: SendStart,
    sent: MonotonicTime,
    /// The last event, or the send.
    last: MonotonicTime,
    has_event: bool,
    /// Since when a further event is awaited; `None` while the caller doesn't take any.
    awaited: Option<MonotonicTime>,
    /// The duration with which the present wait was counted as overdue.
    counted_ms: Option<f64>,
}

impl OpenSend {
    fn expected_ms(&self) -> f64 {
        let first = self.start.expected_ms.unwrap_or(UNMEASURED_MS);
        let pause = if self.start.pause_ms > 0.0 { self.start.pause_ms } else { UNMEASURED_MS };
        if self.has_event { pause } else { first }.max(1.0)
    }

    /// Whether the present wait is for the upstream alone.
    fn is_upstream_wait(&self) -> bool {
        self.awaited.is_some_and(|awaited| awaited.since(self.last) <= PROMPT_READ)
    }

    /// Logarithm of the ratio by which the present wait of `ms` exceeds what was counted of it.
    fn uncounted_log(&self, ms: f64) -> f64 {
        let log = |ms: f64| (ms / self.expected_ms()).ln().min(MAX_LOG);
        log(ms) - self.counted_ms.map_or(0.0, log)
    }
}

/// Sums up the times that upstreams take, between two reports.
///
/// The load that it answers: each of dozens of instances sends to one upstream only every half a
/// minute, so that a slow one is noticed only by their measurements together.
#[derive(Debug, Default)]
pub struct SpeedTally {
    open: HashMap<u64, OpenSend>,
    next: u64,
    engines: BTreeMap<EngineId, SpeedReport>,
    services: BTreeMap<Arc<str>, RateReport>,
}

impl SpeedTally {
    /// Records that a request is sent. Returns the key under which it is measured until
    /// [`end`](Self::end).
    pub fn begin(&mut self, now: MonotonicTime, start: SendStart) -> u64 {
        self.next += 1;
        let (has_event, counted_ms) = (false, None);
        let awaited = Some(now);
        let send = OpenSend { start, sent: now, last: now, has_event, awaited, counted_ms };
        self.open.insert(self.next, send);
        self.next
    }

    /// Records that a further event is awaited.
    pub fn begin_read(&mut self, now: MonotonicTime, key: u64) {
        if let Some(send) = self.open.get_mut(&key) {
            send.awaited.get_or_insert(now);
        }
    }

    /// Records that `events` events have come.
    pub fn record_events(&mut self, now: MonotonicTime, key: u64, events: u32) {
        let Some(send) = self.open.get_mut(&key).filter(|_| events > 0) else { return };
        let waited = now.since(send.last);
        let ms = millis(waited);
        let report = report_of(&mut self.engines, &send.start);
        match (send.counted_ms, send.has_event) {
            (Some(_), _) => report.late_log += send.uncounted_log(ms) as f32,
            (None, false) => record_wait(report, send, waited),
            (None, true) if send.is_upstream_wait() => {
                report.pauses += events;
                report.pause_ms += ms as f32;
            }
            (None, true) => {}
        }
        if !send.has_event && send.start.has_slot {
            let most = send.start.expected_ms.map_or(ms, |expected| expected * MAX_RATE_RATIO);
            let usual_ms = (ms.min(most) / send.start.stretch.max(0.01)) as f32;
            let kilotokens = send.start.unread_tokens as f32 / 1_000.0;
            let rates = rates_of(&mut self.services, &send.start.service);
            rates.firsts += 1.0;
            rates.first_ms += usual_ms;
            rates.kilotokens += kilotokens;
            rates.kilotokens_squared += kilotokens * kilotokens;
            rates.kilotokens_ms += kilotokens * usual_ms;
        }
        send.has_event = true;
        (send.last, send.awaited, send.counted_ms) = (now, None, None);
    }

    /// Records that a request ended, for whatever reason. One that has got no event, and isn't
    /// overdue, tells nothing about its upstream.
    pub fn end(&mut self, now: MonotonicTime, key: u64) {
        self.count_overdue(now, key);
        let Some(send) = self.open.remove(&key).filter(|send| send.has_event) else { return };
        let rates = rates_of(&mut self.services, &send.start.service);
        rates.serves += 1.0;
        rates.serve_ms += (millis(now.since(send.sent)) * send.start.speed) as f32;
    }

    /// Forgets a request whose answer tells nothing about its upstream's speed, such as a failure.
    pub fn discard(&mut self, key: u64) {
        self.open.remove(&key);
    }

    /// The sums since the last call.
    pub fn take_reports(&mut self, now: MonotonicTime) -> (Vec<SpeedReport>, Vec<RateReport>) {
        let keys: Vec<u64> = self.open.keys().copied().collect();
        for key in keys {
            self.count_overdue(now, key);
        }
        let is_due =
            |report: &SpeedReport| report.waits > 0 || report.pauses >= MIN_REPORTED_PAUSES;
        let due: Vec<EngineId> = {
            let due = self.engines.iter().filter(|(_, report)| is_due(report));
            due.map(|(engine, _)| engine.clone()).take(MAX_REPORTED).collect()
        };
        let mut reports: Vec<SpeedReport> =
            due.iter().filter_map(|engine| self.engines.remove(engine)).collect();
        let late = reports.iter().filter(|report| report.late_waits > 0).count();
        if reports.len() >= MIN_COMPARED && late as f64 > MAX_LATE_SHARE * reports.len() as f64 {
            for report in &mut reports {
                (report.late_waits, report.late_log) = (0, 0.0);
            }
        }
        let rates = std::mem::take(&mut self.services).into_values().collect();
        (reports, rates)
    }

    /// Counts a wait that hasn't ended once it is overdue, and again each time it has doubled.
    fn count_overdue(&mut self, now: MonotonicTime, key: u64) {
        let Some(send) = self.open.get_mut(&key) else { return };
        let waited = now.since(send.last);
        let ms = millis(waited);
        let is_due = match send.counted_ms {
            Some(counted) => ms >= counted * 2.0,
            None => waited >= MIN_OVERDUE && ms >= send.expected_ms() * OVERDUE_RATIO,
        };
        if !is_due || !send.is_upstream_wait() {
            return;
        }
        let report = report_of(&mut self.engines, &send.start);
        if send.counted_ms.is_none() {
            report.waits += 1;
            report.late_waits += 1;
        }
        report.late_log += send.uncounted_log(ms) as f32;
        send.counted_ms = Some(ms);
    }
}

/// Counts the wait for a first event that has come.
fn record_wait(report: &mut SpeedReport, send: &OpenSend, waited: Duration) {
    report.waits += 1;
    let Some(expected_ms) = send.start.expected_ms else { return };
    let ms = millis(waited);
    if waited >= MIN_LATE && ms >= expected_ms * LATE_RATIO {
        report.late_waits += 1;
        report.late_log += send.uncounted_log(ms) as f32;
    }
}

fn report_of<'a>(
    engines: &'a mut BTreeMap<EngineId, SpeedReport>,
    start: &SendStart,
) -> &'a mut SpeedReport {
    let new = || SpeedReport::new(start.engine.clone(), Arc::clone(&start.service));
    engines.entry(start.engine.clone()).or_insert_with(new)
}

fn rates_of<'a>(
    services: &'a mut BTreeMap<Arc<str>, RateReport>,
    service: &Arc<str>,
) -> &'a mut RateReport {
    let new = || RateReport { service: Arc::clone(service), ..RateReport::default() };
    services.entry(Arc::clone(service)).or_insert_with(new)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
