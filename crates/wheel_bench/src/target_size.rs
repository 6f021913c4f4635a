//! The size that the system is designed for.

/// Nodes with instances, in front of the engines.
pub(crate) const NODES: f64 = 1_200.0;
/// Engines.
pub(crate) const ENGINES: f64 = 10_000.0;
/// Data centres.
pub(crate) const CENTRES: f64 = 22.0;
/// Peak requests per second.
pub(crate) const REQUESTS_PER_S: f64 = 80_000.0;
/// Peak tokens per second.
pub(crate) const TOKENS_PER_S: f64 = 32e6;
/// Longest time between two tokens of a stream, in seconds.
pub(crate) const TOKEN_GAP_S: f64 = 0.064;
/// Models and adapters.
pub(crate) const ARTIFACTS: f64 = 940.0 + 3_600.0;
/// Share of them that become active or idle per hour.
pub(crate) const HOURLY_SHARE: f64 = 0.2;
/// Changes of the manifest per day.
pub(crate) const CHANGES_PER_DAY: f64 = 15_000.0;
/// Restarts of instances per day.
pub(crate) const RESTARTS_PER_DAY: f64 = 750.0;
/// Time within which a change must be active everywhere, in seconds.
pub(crate) const IN_FORCE_S: f64 = 6.0;
/// Limit for control: share of a core, in percent.
pub(crate) const CONTROL_CORE_PERCENT: f64 = 1.4;
/// Limit for control: memory, in mebibytes; the requirement is 64 MB.
pub(crate) const CONTROL_MIB: f64 = 64e6 / 1_048_576.0;
/// Limit for control: bytes per second; the requirement is 8 KB.
pub(crate) const CONTROL_BYTES_PER_S: f64 = 8_000.0;

/// Seconds in a day.
pub(crate) const DAY_S: f64 = 86_400.0;
/// Nodes of one data centre.
pub(crate) const CENTRE_NODES: f64 = NODES / CENTRES;
/// Engines of one data centre.
pub(crate) const CENTRE_ENGINES: f64 = ENGINES / CENTRES;
/// Engines of one owner.
pub(crate) const OWNER_ENGINES: f64 = ENGINES / NODES;
/// Changes of the manifest per second.
pub(crate) const CHANGES_PER_S: f64 = CHANGES_PER_DAY / DAY_S;
