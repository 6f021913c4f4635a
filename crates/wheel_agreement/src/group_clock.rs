//! The leader's source of group time.

use wheel_types::MonotonicTime;

/// Group time at the leader: it goes on from the state machine's time by the leader's own
/// monotonic clock. Wall clocks have no part in it, so that a wrong one ends no claim early; time
/// without a leader isn't counted.
///
/// ```
/// use wheel_agreement::GroupClock;
/// use wheel_types::MonotonicTime;
///
/// let clock = GroupClock::open(7_000, MonotonicTime::from_millis(100));
/// assert_eq!(clock.leader_ms(MonotonicTime::from_millis(350)), 7_250);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GroupClock {
    base_ms: u64,
    since: MonotonicTime,
}

impl GroupClock {
    /// Goes on from [`crate::GroupState::clock_ms`]; called when leadership begins.
    pub fn open(clock_ms: u64, now: MonotonicTime) -> Self {
        Self { base_ms: clock_ms, since: now }
    }

    /// The time for [`crate::GroupCommand::leader_ms`].
    pub fn leader_ms(&self, now: MonotonicTime) -> u64 {
        let elapsed_ms = u64::try_from(now.since(self.since).as_millis()).unwrap_or(u64::MAX);
        self.base_ms.saturating_add(elapsed_ms)
    }
}
