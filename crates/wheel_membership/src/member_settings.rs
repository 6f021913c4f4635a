//! Timings and limits of a member table.

use std::time::Duration;

/// Settings of a [`MemberTable`](crate::MemberTable), the same for all members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// One member is probed each period.
    pub probe_period: Duration,
    /// A probe without an answer for this long is repeated through others.
    pub ack_timeout: Duration,
    /// Through how many others a probe is repeated.
    pub indirect_probes: usize,
    /// A suspected member that doesn't refute for this long is dead.
    pub suspicion_time: Duration,
    /// A member that was dead and answers again in the same incarnation stays out of the view for
    /// this long; doubled with each time.
    pub hold_time: Duration,
    /// After a member was alive for this long, its earlier deaths no longer count.
    pub flap_reset_after: Duration,
    /// A dead member that isn't on the platform's list is dropped after this long.
    pub forget_after: Duration,
    /// How long a failed contact isn't used.
    pub contact_retry: Duration,
    /// After a longer time without a step, open probes are discarded.
    pub gap_limit: Duration,
    /// Maximum number of members of the own data centre.
    pub max_members: usize,
    /// Maximum number of instances kept of all other data centres together.
    pub max_remote: usize,
    /// Contacts shown for each other data centre.
    pub contacts: usize,
    /// Maximum number of updates in a message.
    pub max_updates: usize,
    /// To how many members a refuted suspicion is sent at once.
    pub notice_fanout: usize,
    /// To how many members a graceful leave is sent at once.
    pub leave_fanout: usize,
    /// How many listed members are asked for the whole table each period after the start.
    pub join_fanout: usize,
    /// A member that got no table for this long after its start continues without one.
    pub join_timeout: Duration,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(150),
            indirect_probes: 3,
            suspicion_time: Duration::from_millis(2_000),
            hold_time: Duration::from_millis(5_000),
            flap_reset_after: Duration::from_secs(300),
            forget_after: Duration::from_secs(60),
            contact_retry: Duration::from_secs(30),
            gap_limit: Duration::from_millis(1_500),
            max_members: 256,
            max_remote: 2_048,
            contacts: 3,
            max_updates: 6,
            notice_fanout: 8,
            leave_fanout: 64,
            join_fanout: 2,
            join_timeout: Duration::from_secs(10),
        }
    }
}
