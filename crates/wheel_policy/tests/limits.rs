//! Limits that upstreams name for all instances together: what is sent in a fleet of ingress and
//! control instances stays below them, urgent requests go first, and answers that overtake each
//! other confuse nobody.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wheel_policy::{LimitGrantor, LimitShare, LimitTable};
use wheel_route::{EngineId, LimitDemand, LimitGrant, LimitReport, UpstreamLimit};
use wheel_types::MonotonicTime;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which all instances that are in contact know the limit.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(20);
const CONTROLS: usize = 6;
const RANK: u8 = 1;

fn engine() -> EngineId {
    EngineId { name: "e".into(), started_unix_ms: 1 }
}

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::default() + Duration::from_millis(ms)
}

fn limit(rate: f64, age: Duration) -> UpstreamLimit {
    let age_ms = age.as_millis() as u64;
    let report = LimitReport {
        engine: engine(),
        rate: Some(rate),
        sent_age_ms: age_ms,
        received_age_ms: age_ms,
    };
    UpstreamLimit { report, waiting: Vec::new() }
}

fn want(rank: u8, count: u32) -> LimitDemand {
    LimitDemand { engine: engine(), rank, count }
}

/// What a simulated fleet does besides sending requests.
#[derive(Clone, Copy, Default)]
struct FleetPlan {
    ingress: usize,
    rate: f64,
    /// Requests per second of the whole fleet that want to be sent to the upstream.
    demand: f64,
    /// When the leader is lost and another one takes over, in seconds.
    next_leader_s: Option<u64>,
    /// The share of ingress instances that are cut off from all control instances, and since when.
    cut: Option<(f64, u64)>,
}

/// Simulates 40 seconds in which each ingress instance syncs with one of the control instances, and
/// these with a leader, five times a second. Returns when requests were sent to the upstream, once
/// all may know its limit.
fn simulate(plan: FleetPlan, seed: u64) -> Vec<MonotonicTime> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut shares: Vec<LimitShare> =
        (0..plan.ingress).map(|index| LimitShare::open(seed * 1_000 + index as u64)).collect();
    let mut wants: Vec<Vec<LimitDemand>> = vec![Vec::new(); plan.ingress];
    let mut grantors: Vec<LimitGrantor> = (0..CONTROLS).map(|_| LimitGrantor::default()).collect();
    // Requests that wait at each ingress instance, with the time at which they leave.
    let mut waiting: Vec<Vec<MonotonicTime>> = vec![Vec::new(); plan.ingress];
    let mut sent = Vec::new();
    let mut leader = 0;
    for step in 0..(40_000 / STEP.as_millis() as u64) {
        let now = at(step * STEP.as_millis() as u64);
        if plan.next_leader_s.is_some_and(|second| now == at(second * 1_000)) {
            leader = 1;
        }
        for index in 0..plan.ingress {
            let is_cut = plan.cut.is_some_and(|(share, second)| {
                (index as f64) < share * plan.ingress as f64 && now >= at(second * 1_000)
            });
            if random.random_bool((plan.demand / plan.ingress as f64 * STEP.as_secs_f64()).min(1.0))
            {
                shares[index].count_waiting(&engine(), RANK, 1);
                waiting[index].push(now + Duration::from_secs(2));
            }
            let gone = waiting[index].extract_if(.., |end| now >= *end).count();
            shares[index].count_waiting(&engine(), RANK, -(gone as i32));
            while !waiting[index].is_empty() && shares[index].take(now, &engine(), RANK) {
                shares[index].count_waiting(&engine(), RANK, -1);
                waiting[index].remove(0);
                sent.push(now);
            }
            let is_due = step % 10 == index as u64 % 10;
            // A sync is prepared also if nobody replies.
            let asked = if is_due { shares[index].demand(now) } else { Vec::new() };
            if is_due && !is_cut {
                wants[index] = asked;
                let parent = index % CONTROLS;
                let others: Vec<LimitDemand> = (0..plan.ingress)
                    .filter(|other| *other != index && other % CONTROLS == parent)
                    .flat_map(|other| wants[other].clone())
                    .collect();
                let grant = match parent == leader {
                    true => grantors[parent].grant(now, plan.rate, &wants[index], &others),
                    false => grantors[parent].pass_on(now, &wants[index], &others),
                };
                let grants: Vec<LimitGrant> = grant.into_iter().collect();
                let limits = [limit(plan.rate, Duration::from_secs(1))];
                shares[index].merge(now, &limits, plan.ingress as u32);
                shares[index].receive(now, &grants, true);
            }
        }
        for parent in (0..CONTROLS).filter(|parent| *parent != leader) {
            if step % 10 != parent as u64 {
                continue;
            }
            let children = (0..plan.ingress).filter(|index| index % CONTROLS == parent);
            let wanted: u32 = children.flat_map(|index| &wants[index]).map(|want| want.count).sum();
            let lacking = wanted.saturating_sub(grantors[parent].received(&engine()));
            if lacking > 0 {
                let grant = grantors[leader].grant(now, plan.rate, &[want(RANK, lacking)], &[]);
                let grants: Vec<LimitGrant> = grant.into_iter().collect();
                grantors[parent].receive(now, &grants);
            }
        }
    }
    sent.retain(|time| *time >= MonotonicTime::default() + CONTACT_TIME);
    sent
}

/// The most requests in any window.
fn most_in_window(sent: &[MonotonicTime]) -> usize {
    let in_window = |first: &MonotonicTime| {
        sent.iter().filter(|at| *at >= first && at.since(*first) < WINDOW).count()
    };
    sent.iter().map(in_window).max().unwrap_or_default()
}

fn check(plan: FleetPlan, seed: u64) -> Vec<MonotonicTime> {
    let sent = simulate(plan, seed);
    let allowed = 1.5 * plan.rate * WINDOW.as_secs_f64() + 5.0;
    let most = most_in_window(&sent);
    let FleetPlan { ingress, rate, demand, .. } = plan;
    assert!(
        most as f64 <= allowed,
        "{most} of {allowed}: {ingress} instances, {rate} a second named, {demand} wanted, seed {seed}"
    );
    sent
}

#[test]
fn grants_in_fleets_of_any_size_stay_below_the_limit() {
    for (ingress, seed) in [(2, 1), (6, 2), (86, 3)] {
        for rate in [0.0, 0.3, 1.0, 3.1, 12.0, 60.0] {
            for demand in [0.5, 5.0, 40.0, 200.0] {
                let plan = FleetPlan { ingress, rate, demand, ..FleetPlan::default() };
                check(plan, seed);
            }
        }
    }
}

#[test]
fn grants_use_most_of_what_the_upstream_takes() {
    for ingress in [2, 6, 86] {
        for rate in [1.0, 3.1, 12.0] {
            let plan = FleetPlan { ingress, rate, demand: rate * 5.0, ..FleetPlan::default() };
            let sent = check(plan, 4).len() as f64;
            assert!(sent > rate * 37.0 * 0.75, "{sent} of {}, {ingress} instances", rate * 37.0);
        }
    }
}

#[test]
fn grants_across_a_change_of_leader_stay_below_the_limit() {
    for seed in 0..20 {
        let rate = [0.5, 1.0, 4.0, 20.0][seed as usize % 4];
        let next_leader_s = Some(10 + seed / 4);
        let plan =
            FleetPlan { ingress: 86, rate, demand: 100.0, next_leader_s, ..FleetPlan::default() };
        check(plan, seed);
    }
}

#[test]
fn share_of_instances_that_are_cut_off_doesnt_add_up_to_too_much() {
    for share in [0.1, 0.5, 1.0] {
        for rate in [0.5, 1.0, 4.0, 20.0] {
            let cut = Some((share, 10));
            let plan = FleetPlan { ingress: 86, rate, demand: 100.0, cut, ..FleetPlan::default() };
            let sent = check(plan, 5);
            let late = sent.iter().filter(|time| **time > at(15_000)).count();
            // They go on with their part.
            assert!(late as f64 >= rate * 25.0 * 0.25, "{late} with {share} cut off at {rate}");
        }
    }
}

#[test]
fn grant_goes_to_the_more_urgent_request() {
    let mut grantor = LimitGrantor::default();
    assert_eq!(grantor.grant(at(0), 1.0, &[want(2, 1)], &[]), None, "it begins empty");
    let others = [want(0, 1)];
    assert_eq!(grantor.grant(at(1_000), 1.0, &[want(2, 1)], &others), None);
    let grant = grantor.grant(at(1_000), 1.0, &[want(0, 1), want(2, 1)], &[]);
    assert_eq!(grant.map(|grant| grant.count), Some(1));
}

#[test]
fn take_leaves_permits_to_more_urgent_requests() {
    let mut share = LimitShare::open(1);
    share.merge(at(0), &[limit(1.0, Duration::ZERO)], 2);
    share.count_waiting(&engine(), 0, 1);
    let grant = LimitGrant { engine: engine(), count: 1, life_ms: 1_000 };
    share.receive(at(0), &[grant], true);
    assert!(!share.take(at(10), &engine(), 3));
    assert!(share.take(at(10), &engine(), 0));
    assert!(!share.take(at(10), &engine(), 0), "it was used");
}

#[test]
fn take_refuses_what_has_lapsed() {
    let mut share = LimitShare::open(1);
    share.merge(at(0), &[limit(1.0, Duration::ZERO)], 2);
    let grant = LimitGrant { engine: engine(), count: 1, life_ms: 1_000 };
    share.receive(at(0), &[grant], true);
    assert!(!share.take(at(1_001), &engine(), 0));
}

#[test]
fn record_of_an_answer_that_was_overtaken_changes_nothing() {
    let mut table = LimitTable::default();
    assert!(!table.record(&engine(), None, (at(0), at(10))), "no limit is the usual case");
    assert!(table.record(&engine(), Some(2.0), (at(100), at(150))));
    // Sent before the limit was received of: it may be older.
    assert!(!table.record(&engine(), None, (at(120), at(400))));
    assert_eq!(table.rate(&engine()), Some(2.0));
    assert!(table.record(&engine(), None, (at(160), at(200))));
    assert!(!table.record(&engine(), Some(2.0), (at(130), at(900))), "it isn't brought back");
    assert_eq!(table.rate(&engine()), None);
    assert!(table.record(&engine(), Some(0.0), (at(950), at(990))));
    assert!(table.rate(&engine()).is_some_and(|rate| rate > 0.0), "its end must be noticed");
}

#[test]
fn merge_of_other_instances_news_keeps_the_newest() {
    let (mut first, mut second) = (LimitTable::default(), LimitTable::default());
    first.record(&engine(), Some(5.0), (at(100), at(110)));
    second.record(&engine(), Some(5.0), (at(100), at(110)));
    second.record(&engine(), Some(1.0), (at(500), at(510)));
    for report in second.reports(at(600)) {
        first.merge(at(600), &report);
    }
    let older: BTreeMap<u64, LimitReport> =
        first.reports(at(600)).into_iter().map(|report| (report.received_age_ms, report)).collect();
    assert_eq!(older.keys().copied().collect::<Vec<_>>(), [90]);
    let mut stale = LimitTable::default();
    stale.record(&engine(), Some(5.0), (at(100), at(110)));
    for report in stale.reports(at(700)) {
        assert!(!first.merge(at(700), &report));
    }
    assert_eq!(first.rate(&engine()), Some(1.0));
}

#[test]
fn record_of_a_limit_takes_the_room_of_one_that_has_ended() {
    let mut table = LimitTable::default();
    let id = |number: u64| EngineId { name: format!("e{number}").into(), started_unix_ms: 1 };
    for number in 0..1_000 {
        assert!(table.record(&id(number), Some(1.0), (at(number * 100), at(number * 100 + 10))));
        assert!(table.record(&id(number), None, (at(number * 100 + 20), at(number * 100 + 30))));
    }
    assert!(table.reports(at(100_000)).len() < 1_000, "what is kept is bounded");
}

#[test]
fn rate_of_a_new_start_has_no_limit() {
    let mut table = LimitTable::default();
    table.record(&engine(), Some(1.0), (at(0), at(10)));
    let next = EngineId { started_unix_ms: 2, ..engine() };
    assert_eq!(table.rate(&next), None);
    table.retain(|id| *id == next);
    assert_eq!(table.limited().count(), 0);
}
