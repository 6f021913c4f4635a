//! Bounds that the replays of a trace must meet.

use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::{ReplayPolicy, ReplayReport, ReplaySetup, TraceFile};

/// Bounds on measures, in a TOML file beside the trace.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedOutcomes {
    /// The bounds.
    pub bound: Vec<OutcomeBound>,
}

/// A bound on one measure of [`ReplayPolicy::Ours`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeBound {
    /// The measure; see [`ReplayReport::measure`].
    pub measure: String,
    /// Lower limit.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// Upper limit.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// A policy; the limits are multiplied by its value of the measure.
    #[serde(default)]
    pub times: Option<String>,
}

impl StatedOutcomes {
    /// Replays a trace under [`ReplayPolicy::Ours`] and the policies that bounds compare with, and
    /// returns a message for every bound that isn't met.
    ///
    /// # Errors
    /// A message with the file that can't be read or parsed.
    pub fn check(trace_path: &Path) -> Result<Vec<String>, String> {
        let trace = TraceFile::open(trace_path).map_err(|error| error.to_string())?;
        let path = trace_path.with_extension("toml");
        let source = fs::read_to_string(&path).map_err(|error| error.to_string())?;
        let outcomes: Self = toml::from_str(&source).map_err(|error| error.to_string())?;
        let setup = ReplaySetup::new(&trace);
        let is_compared = |policy: &ReplayPolicy| {
            let name = policy.to_string();
            *policy == ReplayPolicy::Ours
                || outcomes.bound.iter().any(|bound| bound.times.as_ref() == Some(&name))
        };
        let policies = ReplayPolicy::all().into_iter().filter(is_compared);
        let reports: Vec<ReplayReport> = policies.map(|policy| setup.replay(policy)).collect();
        Ok(outcomes.bound.iter().filter_map(|bound| bound.violation(&reports)).collect())
    }
}

impl OutcomeBound {
    /// A message if the bound isn't met.
    fn violation(&self, reports: &[ReplayReport]) -> Option<String> {
        let of = |name: &str| {
            let report = reports.iter().find(|report| report.policy.to_string() == name);
            report.and_then(|report| report.measure(&self.measure))
        };
        let Some(value) = of(&ReplayPolicy::Ours.to_string()) else {
            return Some(format!("{}: no such measure", self.measure));
        };
        let unit = match &self.times {
            None => Some(1.0),
            Some(name) => of(name),
        };
        let Some(unit) = unit else { return Some(format!("{}: no such policy", self.measure)) };
        let is_low = self.at_least.is_some_and(|limit| value < limit * unit);
        let is_high = self.at_most.is_some_and(|limit| value > limit * unit);
        (is_low || is_high).then(|| format!("{} is {value}, unit {unit}: {self:?}", self.measure))
    }
}
