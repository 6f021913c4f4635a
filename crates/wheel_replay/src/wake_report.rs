//! Causes of the longest waits of a replay.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use wheel_policy::CheckpointSource;
use wheel_types::{ModelName, MonotonicTime};

use crate::load_record::LoadRecord;
use crate::replay_run::{ReplayRun, TRACE_START};

/// Requests for one model within this time of the first one share its wake-up.
const SESSION_SPAN: Duration = Duration::from_secs(30);
/// Mebibytes in a gibibyte.
const GIB: u64 = 1_024;

/// The wake-ups with the longest waits, and where each spent its time.
#[derive(Clone, Debug, Default)]
pub struct WakeReport {
    /// Wake-ups, longest wait first.
    pub wakes: Vec<SlowWake>,
    /// Number of requests that ended an idle period of their model.
    pub requests: usize,
}

/// Requests that waited for the same load.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowWake {
    /// The model.
    pub model: ModelName,
    /// Its size, in gibibytes.
    pub size_gib: u64,
    /// Time from the start of the trace to the first request.
    pub at: Duration,
    /// How many requests waited.
    pub requests: usize,
    /// The longest of their waits.
    pub wait: Duration,
    /// From the first request until memory was free: drains and unloads on the engine.
    pub memory_wait: Duration,
    /// From the first request until the store had a slot.
    pub slot_wait: Duration,
    /// Time until the load began for any other reason; negative waits count as none.
    pub decision_wait: Duration,
    /// Duration of the load at full speed, or what was left of it at the first request.
    pub load: Duration,
    /// What the load took longer because other loads shared the store's speed, or because a store
    /// was slow.
    pub shared_wait: Duration,
    /// The source, and the nearest one at any engine of the data centre.
    pub source: Option<(CheckpointSource, CheckpointSource)>,
    /// Time since a replica was last unloaded in the data centre; `None` if there was none in this
    /// trace.
    pub unloaded_for: Option<Duration>,
    /// Requests that the forecast expected within ten minutes.
    pub expected: f64,
}

impl WakeReport {
    /// Finds the wake-ups of the `share` of requests with the longest waits.
    pub(crate) fn new(run: &ReplayRun<'_>, waits: &[Option<Duration>], share: f64) -> Self {
        let calls = run.calls.iter().zip(waits).filter(|(call, _)| call.is_wake_up);
        let mut slow: Vec<_> = calls.filter_map(|(call, wait)| Some((call, (*wait)?))).collect();
        slow.sort_by_key(|(call, wait)| (std::cmp::Reverse(*wait), call.arrived_at));
        let requests = slow.len();
        slow.truncate((requests as f64 * share).ceil() as usize);
        let mut wakes: Vec<SlowWake> = Vec::new();
        for (call, wait) in slow {
            let at = call.arrived_at.since(TRACE_START);
            let known = wakes.iter_mut().find(|wake| {
                wake.model == call.arrival.model && wake.at.abs_diff(at) <= SESSION_SPAN
            });
            match known {
                Some(wake) => wake.requests += 1,
                None => wakes.push(SlowWake::new(run, &call.arrival.model, call.arrived_at, wait)),
            }
        }
        Self { wakes, requests }
    }

    /// The wake-ups as a table in plain text, then their sums by cause.
    pub fn to_text(&self) -> String {
        let mut text = format!("slowest wake-ups of {} requests\n", self.requests);
        text.push_str(
            "model      GiB  at min  requests   wait  memory   slot  decide   load  shared  \
             from (nearest)  unloaded  expected  cause\n",
        );
        let mut causes: BTreeMap<&str, (usize, usize, Duration)> = BTreeMap::new();
        for wake in &self.wakes {
            text.push_str(&wake.to_line());
            let sum = causes.entry(wake.cause()).or_default();
            *sum = (sum.0 + 1, sum.1 + wake.requests, sum.2 + wake.wait * wake.requests as u32);
        }
        text.push_str("cause: wake-ups, requests, mean wait\n");
        for (cause, (wakes, requests, total)) in causes {
            let mean_s = total.as_secs_f64() / requests.max(1) as f64;
            let _ = writeln!(text, "{cause:44} {wakes:>4} {requests:>4} {mean_s:>7.2}s");
        }
        text
    }
}

impl SlowWake {
    fn new(
        run: &ReplayRun<'_>,
        model: &ModelName,
        arrived_at: MonotonicTime,
        wait: Duration,
    ) -> Self {
        let size_mib = run.demand.spec(model).map_or(0, |spec| spec.memory_mib);
        let mut loads = run.loads.iter().filter(|load| &load.model == model);
        let load = loads.find(|load| load.ended.is_some_and(|ended| ended > arrived_at));
        let wake = Self {
            model: model.clone(),
            size_gib: size_mib / GIB,
            at: arrived_at.since(TRACE_START),
            requests: 1,
            wait,
            memory_wait: Duration::ZERO,
            slot_wait: Duration::ZERO,
            decision_wait: Duration::ZERO,
            load: Duration::ZERO,
            shared_wait: Duration::ZERO,
            source: None,
            unloaded_for: None,
            expected: 0.0,
        };
        load.map_or(wake.clone(), |load| wake.with_load(load, arrived_at))
    }

    /// Splits the wait by the load that ended it.
    fn with_load(mut self, load: &LoadRecord, arrived_at: MonotonicTime) -> Self {
        let before = load.begun.since(arrived_at);
        let freed = |at: Option<MonotonicTime>| at.is_some_and(|at| at > arrived_at);
        match load.source {
            _ if freed(load.memory_freed_at) => self.memory_wait = before,
            CheckpointSource::Store if freed(load.slot_freed_at) => self.slot_wait = before,
            _ => self.decision_wait = before,
        }
        let taken = load.ended.map_or(Duration::ZERO, |ended| ended.since(load.begun));
        self.load = load.full_speed.saturating_sub(arrived_at.since(load.begun));
        self.shared_wait = taken.saturating_sub(load.full_speed);
        self.source = Some((load.source, load.nearest));
        self.unloaded_for = load.unloaded_at.map(|at| arrived_at.since(at));
        self.expected = load.expected;
        self
    }

    /// The main cause of the wait.
    pub fn cause(&self) -> &'static str {
        let longest = self.memory_wait.max(self.slot_wait).max(self.shared_wait);
        match self.source {
            None => "no load: refused, or on its way",
            Some(_) if longest > self.load && longest == self.memory_wait => "memory to drain",
            Some(_) if longest > self.load => "store's slots and speed",
            Some((source, nearest)) if nearest < source => "a nearer checkpoint's engine was full",
            Some((CheckpointSource::Store, _)) if self.unloaded_for.is_some() => {
                "store: checkpoints were evicted"
            }
            Some((CheckpointSource::Store, _)) => "store: never loaded in this trace",
            Some((CheckpointSource::Disk, _)) if self.unloaded_for.is_some() => {
                "disk: evicted from host memory"
            }
            Some((CheckpointSource::Disk, _)) => "disk: never loaded in this trace",
            Some((CheckpointSource::Memory, _)) => "host memory",
        }
    }

    fn to_line(&self) -> String {
        let source = match self.source {
            Some((source, nearest)) if nearest < source => format!("{source:?} ({nearest:?})"),
            Some((source, _)) => format!("{source:?}"),
            None => "none".to_owned(),
        };
        let unloaded = self
            .unloaded_for
            .map_or("never".to_owned(), |span| format!("{:.1} min", span.as_secs_f64() / 60.0));
        let seconds = [
            self.wait,
            self.memory_wait,
            self.slot_wait,
            self.decision_wait,
            self.load,
            self.shared_wait,
        ];
        let [wait, memory, slot, decision, load, shared] = seconds.map(|span| span.as_secs_f64());
        format!(
            "{:9} {:>4} {:>7.1} {:>9} {wait:>6.2} {memory:>7.2} {slot:>6.2} {decision:>7.2} \
             {load:>6.2} {shared:>7.2}  {source:14} {unloaded:>9} {:>9.2}  {}\n",
            self.model.as_str(),
            self.size_gib,
            self.at.as_secs_f64() / 60.0,
            self.requests,
            self.expected,
            self.cause()
        )
    }
}
