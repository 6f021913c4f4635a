//! Times and counts that the promises are judged by.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Bounds of the promises; each comes from what is promised to users, none from what was measured.
///
/// The defaults are those of the users' platform. Runs set the lease, the store's rate and the names of
/// their control instances.
#[derive(Clone, Debug, PartialEq)]
pub struct PromiseBounds {
    /// How much later than a caller's time an answer may end.
    pub answer_slack: Duration,
    /// After a caller's time and this, an exchange without any end is a violation.
    pub give_up_time: Duration,
    /// A fault explains a broken exchange if it acted no further than this from it.
    pub fault_span: Duration,
    /// How long a kept connection may have been dead, once its link was harmed, before it is used again.
    pub kept_span: Duration,
    /// A request may cross the close of its connection if it is closed within this and never ran.
    pub cross_slack: Duration,
    /// From the end of an exchange until it is judged; at least `fault_span`.
    pub judge_delay: Duration,
    /// How long a judged request is remembered after the last that was heard of it.
    pub keep_time: Duration,
    /// From an acknowledgement until reads and probes that are sent show that version.
    pub change_time: Duration,
    /// From a probe that showed a version until an entry never shows an older one.
    pub downgrade_slack: Duration,
    /// Between the last order of one holder and the first of the next.
    pub lease_pause: Duration,
    /// For this long after its sender or its link was harmed, an order isn't judged.
    pub thaw_time: Duration,
    /// Loads that the weight store allows, a second.
    pub loads_per_s: f64,
    /// The window in which loads are counted.
    pub load_window: Duration,
    /// Loads in a window beyond rate times window.
    pub extra_loads: usize,
    /// From an upstream's leaving until it gets no new work.
    pub leave_time: Duration,
    /// How much later than its grace a process may end.
    pub end_slack: Duration,
    /// From SIGTERM until a process says that it isn't ready.
    pub drain_word_time: Duration,
    /// For this long what a process said of its readiness counts.
    pub ready_age: Duration,
    /// Calls in a row without any answer, at a process that says it is ready.
    pub ready_tries: usize,
    /// From the last fault's end until requests are served.
    pub recovery_time: Duration,
    /// Share of the requests after it that are served, 0 to 1.
    pub served_share: f64,
    /// Requests after it without which nothing can be said.
    pub min_calm_calls: usize,
    /// Kinds of fault that excuse nothing: planned work, such as signals and changes.
    pub planned_kinds: BTreeSet<Arc<str>>,
    /// The control instances: faults on them excuse entries and leaving upstreams.
    pub control: BTreeSet<Arc<str>>,
    /// The list of live and leaving upstreams: faults on it excuse work at one that leaves.
    pub list: Arc<str>,
    /// Which upstreams have one holder together; those that aren't named form one group.
    pub order_groups: BTreeMap<Arc<str>, Arc<str>>,
}

impl Default for PromiseBounds {
    fn default() -> Self {
        let names = ["configuration", "reload", "restart", "second_signal", "terminate"];
        Self {
            answer_slack: Duration::from_millis(500),
            give_up_time: Duration::from_secs(20),
            fault_span: Duration::from_secs(3),
            kept_span: Duration::from_secs(15),
            cross_slack: Duration::from_millis(200),
            judge_delay: Duration::from_secs(4),
            keep_time: Duration::from_secs(60),
            change_time: Duration::from_secs(2),
            downgrade_slack: Duration::from_millis(250),
            lease_pause: Duration::from_secs(1),
            thaw_time: Duration::from_millis(300),
            loads_per_s: 10.0,
            load_window: Duration::from_secs(5),
            extra_loads: 3,
            leave_time: Duration::from_secs(3),
            end_slack: Duration::from_millis(500),
            drain_word_time: Duration::from_secs(1),
            ready_age: Duration::from_secs(2),
            ready_tries: 7,
            recovery_time: Duration::from_secs(12),
            served_share: 0.9,
            min_calm_calls: 20,
            planned_kinds: names.into_iter().map(Arc::from).collect(),
            control: BTreeSet::new(),
            list: "list".into(),
            order_groups: BTreeMap::new(),
        }
    }
}
