//! Times and counts that the guarantees are checked with.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the guarantees. Each follows from what users are promised, none from a measurement.
///
/// The defaults are those of the users' platform. Runs set the lease, the store's rate and the names of
/// their control instances.
#[derive(Clone, Debug, PartialEq)]
pub struct GuaranteeBounds {
    /// How long after the caller's deadline an answer may end.
    pub answer_slack: Duration,
    /// An exchange that hasn't ended this long after the caller's deadline is a violation.
    pub no_end_time: Duration,
    /// A fault explains a broken exchange if it acted within this time of it.
    pub fault_span: Duration,
    /// How long before a request a fault of the link may have broken a reused connection.
    pub idle_span: Duration,
    /// A request may race with the close of its connection if that closes within this time and the
    /// request never ran.
    pub close_slack: Duration,
    /// Time from the end of an exchange until it is checked; at least `fault_span`.
    pub check_delay: Duration,
    /// How long a checked request is kept after its last observation.
    pub keep_time: Duration,
    /// Time from an acknowledgement until new reads and probes must show that version.
    pub change_time: Duration,
    /// Time from a probe that showed a version until an ingress must not show an older one.
    pub downgrade_slack: Duration,
    /// Time from the acknowledgement that withdraws a key until requests with it must never run.
    pub withdrawal_time: Duration,
    /// How long an upstream may still work on a stream that has gone on at another one.
    pub leave_run_time: Duration,
    /// Minimum pause between the last order of one lease holder and the first of the next.
    pub lease_pause: Duration,
    /// An order isn't checked for this long after a fault of its sender or of the link to its upstream.
    pub resume_time: Duration,
    /// Loads per second that the weight store allows.
    pub loads_per_s: f64,
    /// The window in which loads are counted.
    pub load_window: Duration,
    /// Loads that are allowed in a window beyond the rate times the window.
    pub extra_loads: usize,
    /// Time from an upstream's announcement that it leaves until it must get no new work.
    pub leave_time: Duration,
    /// How long after its grace period a process may exit.
    pub end_slack: Duration,
    /// Time from SIGTERM until a process must report that it isn't ready.
    pub drain_report_time: Duration,
    /// How long a readiness report is valid.
    pub ready_age: Duration,
    /// Number of consecutive calls without any answer, at a process that reports that it is ready,
    /// that is a violation.
    pub unanswered_limit: usize,
    /// Maximum memory that a process may have of its own, in megabytes.
    pub memory_mb: u64,
    /// Time from the end of the last fault until requests must be served.
    pub recovery_time: Duration,
    /// Minimum share of the requests after the recovery time that are served, 0 to 1.
    pub served_share: f64,
    /// Minimum number of requests after the recovery time.
    pub min_recovered_calls: usize,
    /// Kinds of fault that excuse no violation: signals and configuration changes, because they are
    /// planned work; silences and refusals of a sound upstream; and odd entries of the list, since the
    /// others hold.
    pub planned_kinds: BTreeSet<Arc<str>>,
    /// The control instances; their faults excuse ingress instances and leaving upstreams.
    pub control: BTreeSet<Arc<str>>,
    /// The list of live and leaving upstreams; its faults excuse new work at a leaving one.
    pub list: Arc<str>,
    /// Groups of upstreams that share a lease holder; upstreams not listed form one group.
    pub order_groups: BTreeMap<Arc<str>, Arc<str>>,
}

impl Default for GuaranteeBounds {
    fn default() -> Self {
        let names = [
            "configuration",
            "holder_stop",
            "list_odd",
            "reload",
            "restart",
            "second_signal",
            "terminate",
            "upstream_refuses",
            "upstream_silent",
        ];
        Self {
            answer_slack: Duration::from_millis(500),
            no_end_time: Duration::from_secs(20),
            fault_span: Duration::from_secs(3),
            idle_span: Duration::from_secs(15),
            close_slack: Duration::from_millis(200),
            check_delay: Duration::from_secs(4),
            keep_time: Duration::from_secs(60),
            change_time: Duration::from_secs(2),
            downgrade_slack: Duration::from_millis(250),
            withdrawal_time: Duration::from_secs(5),
            leave_run_time: Duration::from_millis(400),
            lease_pause: Duration::from_secs(1),
            resume_time: Duration::from_millis(300),
            loads_per_s: 10.0,
            load_window: Duration::from_secs(5),
            extra_loads: 3,
            leave_time: Duration::from_secs(3),
            end_slack: Duration::from_millis(500),
            drain_report_time: Duration::from_secs(1),
            ready_age: Duration::from_secs(2),
            unanswered_limit: 7,
            memory_mb: 160,
            recovery_time: Duration::from_secs(12),
            served_share: 0.9,
            min_recovered_calls: 20,
            planned_kinds: names.into_iter().map(Arc::from).collect(),
            control: BTreeSet::new(),
            list: "list".into(),
            order_groups: BTreeMap::new(),
        }
    }
}
