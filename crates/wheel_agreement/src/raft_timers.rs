//! The timers of a participant.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use wheel_types::MonotonicTime;

use crate::RaftSettings;

/// Timers as remaining durations. They don't depend on the time itself, so that two states that
/// differ only in it are equal.
#[derive(Clone, Debug)]
pub(crate) struct RaftTimers {
    last_advance: MonotonicTime,
    /// Time since the leader's last message; capped at the longest election timeout.
    silence: Duration,
    /// Time left until an election, a leader's quorum check, or the next hello.
    countdown: Duration,
    /// Time left until the leader's next heartbeat.
    heartbeat: Duration,
    seed: u64,
}

impl RaftTimers {
    pub(crate) fn open(now: MonotonicTime, seed: u64) -> Self {
        Self {
            last_advance: now,
            silence: Duration::ZERO,
            countdown: Duration::ZERO,
            heartbeat: Duration::ZERO,
            seed,
        }
    }

    /// Advances the timers to `now` and returns the elapsed time.
    pub(crate) fn advance(&mut self, now: MonotonicTime, settings: &RaftSettings) -> Duration {
        let elapsed = now.since(self.last_advance);
        self.last_advance = self.last_advance.max(now);
        self.silence = (self.silence + elapsed).min(settings.election_timeout_max);
        self.countdown = self.countdown.saturating_sub(elapsed);
        self.heartbeat = self.heartbeat.saturating_sub(elapsed);
        elapsed
    }

    pub(crate) fn countdown_due(&self) -> bool {
        self.countdown.is_zero()
    }

    pub(crate) fn heartbeat_due(&self) -> bool {
        self.heartbeat.is_zero()
    }

    pub(crate) fn silence(&self) -> Duration {
        self.silence
    }

    pub(crate) fn next_countdown(&self) -> MonotonicTime {
        self.last_advance + self.countdown
    }

    pub(crate) fn next_heartbeat(&self) -> MonotonicTime {
        self.last_advance + self.countdown.min(self.heartbeat)
    }

    pub(crate) fn reset_silence(&mut self) {
        self.silence = Duration::ZERO;
    }

    pub(crate) fn set_countdown(&mut self, span: Duration) {
        self.countdown = span;
    }

    /// Shortens the countdown to `span`.
    pub(crate) fn limit_countdown(&mut self, span: Duration) {
        self.countdown = self.countdown.min(span);
    }

    pub(crate) fn set_heartbeat(&mut self, span: Duration) {
        self.heartbeat = span;
    }

    /// Sets the countdown to a random election timeout.
    pub(crate) fn randomize_countdown(&mut self, settings: &RaftSettings) {
        let spread = settings.election_timeout_max.saturating_sub(settings.election_timeout_min);
        let spread = u64::try_from(spread.as_micros()).unwrap_or(u64::MAX);
        let extra = match spread {
            0 => 0,
            spread => self.next_random() % (spread + 1),
        };
        self.countdown = settings.election_timeout_min + Duration::from_micros(extra);
    }

    /// The next number of the splitmix64 generator.
    fn next_random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn compared_state(&self) -> (Duration, Duration, Duration, u64) {
        (self.silence, self.countdown, self.heartbeat, self.seed)
    }
}

impl PartialEq for RaftTimers {
    fn eq(&self, other: &Self) -> bool {
        self.compared_state() == other.compared_state()
    }
}

impl Eq for RaftTimers {}

impl Hash for RaftTimers {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.compared_state().hash(state);
    }
}
