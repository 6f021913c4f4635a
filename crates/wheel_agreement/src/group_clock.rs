//! The leader's source of group time.

use wheel_types::MonotonicTime;

/// Group time at the leader: the state machine's time, advanced by the leader's own monotonic
/// clock. Wall clocks aren't used, so that a wrong one can't expire claims early; time without a
/// leader isn't counted.
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
    /// Continues from [`crate::GroupState::clock_ms`]; called when leadership begins.
    pub fn open(clock_ms: u64, now: MonotonicTime) -> Self {
        Self { base_ms: clock_ms, since: now }
    }

    /// The time for [`crate::GroupCommand::leader_ms`].
    pub fn leader_ms(&self, now: MonotonicTime) -> u64 {
        let elapsed_ms = u64::try_from(now.since(self.since).as_millis()).unwrap_or(u64::MAX);
        self.base_ms.saturating_add(elapsed_ms)
    }
}
