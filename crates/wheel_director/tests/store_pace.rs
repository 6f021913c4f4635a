//! Shares of the weight store.

use std::time::{Duration, SystemTime};

use wheel_director::{StorePace, StoreShare};
use wheel_manifest::{CentreSpec, StoreLimits};
use wheel_types::MonotonicTime;

const LOAD: Duration = Duration::from_secs(2);

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
    all.iter().map(|centre| StoreShare::of(&centre.name, &all, limits, LOAD)).collect()
}

#[test]
fn share_few_centres_adds_up_to_the_whole() {
    let shares = shares(3, &StoreLimits::default());
    assert_eq!(shares.iter().map(|share| share.loads).collect::<Vec<_>>(), [2, 1, 1]);
    assert!(shares.iter().all(|share| share.turn.is_none()));
}

/// Every data centre begins a load whenever it may; each runs as long as the longest load.
#[test]
fn share_more_centres_than_loads_each_gets_a_turn_within_the_whole() {
    const STEP: Duration = Duration::from_millis(100);
    let limits = StoreLimits { loads_per_second: 10.0, ..StoreLimits::default() };
    let shares = shares(22, &limits);
    let mut paces: Vec<StorePace> = shares
        .iter()
        .map(|share| {
            let mut pace = StorePace::new(MonotonicTime::default());
            pace.set_share(*share);
            pace
        })
        .collect();
    let mut ends: Vec<Option<Duration>> = vec![None; paces.len()];
    let mut begun = vec![0; paces.len()];
    let mut since = Duration::ZERO;
    while since < Duration::from_secs(96) {
        let now = MonotonicTime::default() + since;
        for (place, pace) in paces.iter_mut().enumerate() {
            ends[place] = ends[place].filter(|end| *end > since);
            let may_begin = pace.starts(now, SystemTime::UNIX_EPOCH + since) > 0;
            if may_begin && ends[place].is_none() && shares[place].loads > 0 {
                pace.take();
                ends[place] = Some(since + LOAD);
                begun[place] += 1;
            }
        }
        let running = ends.iter().flatten().count();
        assert!(running <= limits.full_speed_loads as usize, "{running} loads at {since:?}");
        since += STEP;
    }
    assert!(begun.iter().all(|count| *count >= 2), "{begun:?}");
}
