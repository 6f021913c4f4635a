//! When a refused request should come back.

use std::time::Duration;

/// Largest part of the expected time that is added at random, so that callers don't return together.
const SPREAD: f64 = 0.5;
/// What each rank below the most urgent adds, as a part of the expected time.
const RANK_DELAY: f64 = 0.25;
/// Ranks that add to the time; further ones come back with the last of them.
const MAX_DELAYED_RANK: u8 = 2;

/// The time after which to come back if room is expected after `expected`, at most `limit`. `draw` is
/// uniform from 0 to 1. If the limit is too short for the spread, the times are spread below it.
pub fn retry_time(expected: Duration, limit: Duration, rank: u8, draw: f64) -> Duration {
    let delay = 1.0 + RANK_DELAY * f64::from(rank.min(MAX_DELAYED_RANK));
    let longest = 1.0 + RANK_DELAY * f64::from(MAX_DELAYED_RANK) + SPREAD;
    let base = expected.as_secs_f64().min(limit.as_secs_f64() / longest);
    Duration::from_secs_f64(base * (delay + SPREAD * draw)).min(limit)
}
