//! The size that the system is designed for.

/// Nodes before the engines.
pub(crate) const NODES: f64 = 1_200.0;
/// Engines.
pub(crate) const ENGINES: f64 = 10_000.0;
/// Data centres.
pub(crate) const CENTRES: f64 = 22.0;
/// Requests a second at the peak.
pub(crate) const REQUESTS_PER_S: f64 = 80_000.0;
/// Tokens a second at the peak.
pub(crate) const TOKENS_PER_S: f64 = 32e6;
/// Seconds between two tokens of a stream at the slowest.
pub(crate) const TOKEN_GAP_S: f64 = 0.064;
/// Models and adapters.
pub(crate) const ARTIFACTS: f64 = 940.0 + 3_600.0;
/// Share of them that wake up or fall idle in an hour.
pub(crate) const HOURLY_SHARE: f64 = 0.2;
/// Changes of the configuration in a day.
pub(crate) const CHANGES_PER_DAY: f64 = 15_000.0;
/// Restarts of instances in a day.
pub(crate) const RESTARTS_PER_DAY: f64 = 750.0;
/// Seconds in which a change must be in force everywhere.
pub(crate) const IN_FORCE_S: f64 = 6.0;
/// Control: share of a core, in percent.
pub(crate) const CONTROL_CORE_PERCENT: f64 = 1.4;
/// Control: memory, in mebibytes; the letter says 64 MB.
pub(crate) const CONTROL_MIB: f64 = 64e6 / 1_048_576.0;
/// Control: bytes a second; the letter says 8 KB.
pub(crate) const CONTROL_BYTES_PER_S: f64 = 8_000.0;

/// Seconds of a day.
pub(crate) const DAY_S: f64 = 86_400.0;
/// Nodes of one data centre.
pub(crate) const CENTRE_NODES: f64 = NODES / CENTRES;
/// Engines of one data centre.
pub(crate) const CENTRE_ENGINES: f64 = ENGINES / CENTRES;
/// Engines of one owner.
pub(crate) const OWNER_ENGINES: f64 = ENGINES / NODES;
/// Changes a second.
pub(crate) const CHANGES_PER_S: f64 = CHANGES_PER_DAY / DAY_S;
