//! The report of a series of runs.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use snafu::Snafu;

use crate::fault_history::names_in;
use crate::report_chart::ReportChart;
use crate::{CallEnd, GuaranteeViolation, Observation, SeenEvent};

/// Maximum number of faults kept individually for the chart; all are counted.
const KEPT_FAULTS: usize = 20_000;

/// An error of writing a report.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("can't write {}: {reason}", path.display()))]
pub struct ReportFailure {
    path: PathBuf,
    reason: String,
}

/// Begin and end of a fault.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct FaultBar {
    pub(crate) kind: Arc<str>,
    pub(crate) target: Arc<str>,
    /// In seconds since the start of the first run.
    pub(crate) from_s: f64,
    /// In seconds since the start of the first run; the end of its run if it didn't end before.
    pub(crate) to_s: f64,
}

/// Time from the end of a fault until its process served a request again.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct RecoveryTime {
    pub(crate) process: Arc<str>,
    /// When the fault ended, in seconds since the start of the first run.
    pub(crate) at_s: f64,
    pub(crate) took_s: f64,
}

/// Collects the observations and violations of consecutive runs.
#[derive(Debug, Default)]
#[derive(Serialize)]
pub struct SoakReport {
    seeds: Vec<u64>,
    process_hours: f64,
    faults: BTreeMap<Arc<str>, u64>,
    /// Number of requests by outcome.
    requests: BTreeMap<&'static str, u64>,
    violations: Vec<GuaranteeViolation>,
    pub(crate) recoveries: Vec<RecoveryTime>,
    pub(crate) fault_bars: Vec<FaultBar>,
    /// Number of requests that ended in each second, by outcome.
    pub(crate) seconds: Vec<BTreeMap<&'static str, u64>>,
    /// Start of the current run, counted from the start of the first one.
    #[serde(skip)]
    run_began: Duration,
    #[serde(skip)]
    now: Duration,
    #[serde(skip)]
    running: BTreeMap<Arc<str>, Duration>,
    /// Processes that haven't served since a fault, with the time of its end.
    #[serde(skip)]
    recovering: BTreeMap<Arc<str>, Duration>,
    /// The processes of open requests.
    #[serde(skip)]
    open_calls: BTreeMap<Arc<str>, Arc<str>>,
}

impl SoakReport {
    /// Begins a run; the times of its observations start at zero again.
    pub fn begin_run(&mut self, seed: u64) {
        self.end_run();
        self.seeds.push(seed);
        self.run_began = self.now;
    }

    /// Adds an observation.
    pub fn observe(&mut self, observation: &Observation) {
        self.now = self.now.max(self.run_began + observation.at);
        let now = self.now;
        match &observation.event {
            SeenEvent::CallBegan { id, process } => {
                self.open_calls.insert(Arc::clone(id), Arc::clone(process));
            }
            SeenEvent::CallEnded { id, end } => self.end_call(id, end),
            SeenEvent::ProcessStarted { process } => {
                self.running.insert(Arc::clone(process), now);
            }
            SeenEvent::ProcessEnded { process, .. } => {
                let began = self.running.remove(process).unwrap_or(now);
                self.process_hours += hours(now - began);
            }
            SeenEvent::FaultBegan { kind, target } => {
                *self.faults.entry(Arc::clone(kind)).or_default() += 1;
                let (kind, target, from_s) = (kind.clone(), target.clone(), now.as_secs_f64());
                if self.fault_bars.len() < KEPT_FAULTS {
                    let to_s = f64::INFINITY;
                    self.fault_bars.push(FaultBar { kind, target, from_s, to_s });
                }
            }
            SeenEvent::FaultEnded { kind, target } => {
                let is_same = |bar: &&mut FaultBar| {
                    bar.kind == *kind && bar.target == *target && bar.to_s.is_infinite()
                };
                if let Some(bar) = self.fault_bars.iter_mut().find(is_same) {
                    bar.to_s = now.as_secs_f64();
                }
                let harmed = names_in(target).map(Arc::from);
                self.recovering.extend(harmed.map(|name: Arc<str>| (name, now)));
            }
            _ => {}
        }
    }

    /// Adds violations of guarantees.
    pub fn add_violations(&mut self, violations: impl IntoIterator<Item = GuaranteeViolation>) {
        let began = self.run_began;
        let moved =
            violations.into_iter().map(|one| GuaranteeViolation { at: one.at + began, ..one });
        self.violations.extend(moved);
    }

    /// Whether there is any violation.
    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    /// Ends the last run and writes the report as JSON.
    ///
    /// # Errors
    /// [`ReportFailure`] if the file can't be written.
    pub fn write(&mut self, path: &Path) -> Result<(), ReportFailure> {
        self.end_run();
        let file = File::create(path).map_err(|error| error.to_string());
        let write =
            |file| serde_json::to_writer_pretty(file, self).map_err(|error| error.to_string());
        file.and_then(write).map_err(|reason| ReportFailure { path: path.to_owned(), reason })
    }

    /// Ends the last run and draws requests per second, faults and recovery times as SVG.
    ///
    /// # Errors
    /// [`ReportFailure`] if the file can't be written.
    pub fn draw(&mut self, path: &Path) -> Result<(), ReportFailure> {
        self.end_run();
        let drawn = ReportChart { report: self }.draw(path);
        drawn.map_err(|reason| ReportFailure { path: path.to_owned(), reason })
    }

    fn end_run(&mut self) {
        let now = self.now;
        let running = std::mem::take(&mut self.running);
        self.process_hours += running.values().map(|began| hours(now - *began)).sum::<f64>();
        for bar in self.fault_bars.iter_mut().filter(|bar| bar.to_s.is_infinite()) {
            bar.to_s = now.as_secs_f64();
        }
        self.recovering.clear();
        self.open_calls.clear();
    }

    fn end_call(&mut self, id: &str, end: &CallEnd) {
        let outcome = match end {
            CallEnd::Answered { is_whole: false, .. } => "cut",
            CallEnd::Answered { status: 200..300, .. } => "served",
            CallEnd::Answered { status: 408 | 421 | 429 | 503, .. } => "refused",
            CallEnd::Answered { .. } => "failed",
            CallEnd::Closed => "closed",
            CallEnd::NotConnected => "not connected",
            CallEnd::Left => "left",
            CallEnd::TimedOut => "timed out",
        };
        *self.requests.entry(outcome).or_default() += 1;
        let second = usize::try_from(self.now.as_secs()).unwrap_or_default();
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, BTreeMap::new());
        }
        *self.seconds[second].entry(outcome).or_default() += 1;
        let process = self.open_calls.remove(id).filter(|_| outcome == "served");
        let ended = process.and_then(|process| self.recovering.remove_entry(&process));
        self.recoveries.extend(ended.map(|(process, ended)| RecoveryTime {
            process,
            at_s: ended.as_secs_f64(),
            took_s: (self.now - ended).as_secs_f64(),
        }));
    }
}

fn hours(time: Duration) -> f64 {
    time.as_secs_f64() / 3_600.0
}
