//! Shares of the data centres in the weight store.

use std::time::{Duration, SystemTime};

use wheel_director::{StoreRateLimiter, StoreShare};
use wheel_manifest::{CentreSpec, StoreLimits};
use wheel_types::MonotonicTime;

const LOAD_TIME: Duration = Duration::from_secs(2);

fn centres(count: usize) -> Vec<CentreSpec> {
    let centre = |n| CentreSpec {
        name: format!("centre-{n}").as_str().into(),
        region: "r".into(),
        grantors: Vec::new(),
    };
    (0..count).map(centre).collect()
}

fn shares(count: usize, limits: &StoreLimits) -> Vec<StoreShare> {
    let all = centres(count);
    all.iter().map(|centre| StoreShare::of(&centre.name, &all, limits, LOAD_TIME)).collect()
}

#[test]
fn share_few_centres_adds_up_to_the_whole() {
    let shares = shares(3, &StoreLimits::default());
    assert_eq!(shares.iter().map(|share| share.loads).collect::<Vec<_>>(), [2, 1, 1]);
    assert!(shares.iter().all(|share| share.time_slot.is_none()));
}

/// Every data centre begins a load whenever allowed, and each load takes the longest load time.
#[test]
fn share_more_centres_than_loads_each_gets_a_time_slot_within_the_whole() {
    const STEP: Duration = Duration::from_millis(100);
    let limits = StoreLimits { loads_per_second: 10.0, ..StoreLimits::default() };
    let shares = shares(22, &limits);
    let mut limiters: Vec<StoreRateLimiter> = shares
        .iter()
        .map(|share| {
            let mut limiter = StoreRateLimiter::new(MonotonicTime::default());
            limiter.set_share(*share);
            limiter
        })
        .collect();
    let mut ends: Vec<Option<Duration>> = vec![None; limiters.len()];
    let mut begun = vec![0; limiters.len()];
    let mut since = Duration::ZERO;
    while since < Duration::from_secs(96) {
        let now = MonotonicTime::default() + since;
        for (index, limiter) in limiters.iter_mut().enumerate() {
            ends[index] = ends[index].filter(|end| *end > since);
            let may_begin = limiter.available_starts(now, SystemTime::UNIX_EPOCH + since) > 0;
            if may_begin && ends[index].is_none() && shares[index].loads > 0 {
                limiter.take();
                ends[index] = Some(since + LOAD_TIME);
                begun[index] += 1;
            }
        }
        let running = ends.iter().flatten().count();
        assert!(running <= limits.full_speed_loads as usize, "{running} loads at {since:?}");
        since += STEP;
    }
    assert!(begun.iter().all(|count| *count >= 2), "{begun:?}");
}
