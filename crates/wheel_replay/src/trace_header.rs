//! The first line of a trace.

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

/// Describes a trace and how the arrivals that aren't in the file are generated.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Version of the format; 1.
    pub trace: u32,
    /// What the trace shows.
    pub title: String,
    /// The site with whose manifest and engines it was recorded.
    pub site: SiteName,
    /// When it starts, in UTC.
    pub start: Timestamp,
    /// How long it lasts, in hours.
    pub hours: f64,
    /// Arrivals to generate; absent in a recorded trace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generator: Option<GeneratorPlan>,
}

/// A site that traces were made for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SiteName {
    /// Srisawat Fossil Trails.
    Srisawat,
    /// Consórcio Rede Leitura Partilhada.
    Rota,
}

/// How arrivals are generated. The same plan gives the same arrivals.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GeneratorPlan {
    /// Name and version of the generator: `local-week-1`.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// Weeks before the start from which the forecast learns.
    #[serde(default)]
    pub history_weeks: u32,
    /// Factor of the ordinary demand.
    #[serde(default = "one")]
    pub scale: f64,
    /// Floods in addition to the ordinary demand.
    #[serde(default)]
    pub floods: Vec<FloodPlan>,
}

/// A flood: far more requests of one service than usual.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FloodPlan {
    /// The service.
    pub service: String,
    /// When it begins, in seconds after the trace's start.
    pub from_s: u64,
    /// How long it lasts, in seconds.
    pub for_s: u64,
    /// Requests per second.
    pub rate: f64,
    /// Number of requested models, the service's first ones.
    pub models: usize,
    /// Number of callers that send it, the first ones.
    pub callers: usize,
}

fn one() -> f64 {
    1.0
}
