//! Averages of demand fade, and the store's pace is learned.

use std::time::Duration;

use wheel_policy::{
    DemandEstimator, ModelResidency, StoreLoadLimiter, UpstreamCandidate, choose_upstream,
};
use wheel_route::{DemandCount, DemandKey, EngineId};
use wheel_types::MonotonicTime;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn key() -> DemandKey {
    DemandKey { service: "s".into(), model: "m".into(), adapter: None }
}

fn count(arrived: u32, waiting: u32) -> DemandCount {
    DemandCount { key: key(), worth: f64::from(arrived), arrived, waiting }
}

#[test]
fn demand_book_rate() {
    let mut book = DemandEstimator::default();
    for second in 0..60 {
        book.record(at(second), "x", &[count(3, 0)]);
    }
    let rate = book.levels(at(60))[&key()].rate;
    assert!((2.5..3.5).contains(&rate), "{rate}");
    assert!(book.levels(at(90))[&key()].rate < rate / 5.0, "it fades within some time constants");
    book.expire(at(400));
    assert!(book.levels(at(400)).is_empty());
}

#[test]
fn demand_book_waiting_is_a_gauge() {
    let mut book = DemandEstimator::default();
    book.record(at(0), "x", &[count(1, 2)]);
    book.record(at(0), "y", &[count(1, 3)]);
    assert_eq!(book.levels(at(0))[&key()].waiting, 5);
    book.record(at(1), "x", &[]);
    assert_eq!(book.levels(at(1))[&key()].waiting, 3);
    book.forget_instance("y");
    assert_eq!(book.levels(at(1))[&key()].waiting, 0);
}

fn engine(place: usize) -> EngineId {
    EngineId { name: format!("e{place}").into(), born: 1 }
}

/// Runs a full batch of loads that each take `took`, and returns the limit afterwards.
fn run_batch(pace: &mut StoreLoadLimiter, began: u64, took: u64) -> usize {
    let places = pace.available();
    (0..places)
        .for_each(|place| pace.begin(at(began), engine(place), "m".into(), Duration::from_secs(6)));
    assert_eq!(pace.available(), 0);
    pace.remove_finished(at(began + took), |_, _| false);
    pace.limit()
}

#[test]
fn store_pace_slows_down() {
    let mut pace = StoreLoadLimiter::default();
    // Four at once took twice as long as stated, all of them: the store bears two, not one.
    assert_eq!(pace.limit(), 4);
    assert_eq!(run_batch(&mut pace, 0, 12), 2);
}

#[test]
fn store_pace_tries_more() {
    let mut pace = StoreLoadLimiter::default();
    let first = pace.limit();
    run_batch(&mut pace, 0, 6);
    assert!(run_batch(&mut pace, 10, 6) > first);
}

fn offer(active: u32) -> UpstreamCandidate {
    UpstreamCandidate {
        slots: 16,
        active,
        is_local: true,
        residency: ModelResidency::Full,
        is_suspect: false,
        is_unreachable: false,
        was_tried: false,
        cached_share: 0.0,
    }
}

#[test]
fn choose_upstream_least_loaded() {
    assert_eq!(choose_upstream(&[offer(9), offer(2), offer(5)], 1), Some(1));
    let near = offer(3);
    let far = UpstreamCandidate { is_local: false, ..offer(3) };
    assert_eq!(choose_upstream(&[far, near], 0), Some(1));
    let far = UpstreamCandidate { is_local: false, ..offer(1) };
    assert_eq!(choose_upstream(&[far, offer(14)], 0), Some(0), "a full one isn't near enough");
}

#[test]
fn choose_upstream_able_only() {
    let tried = UpstreamCandidate { was_tried: true, ..offer(0) };
    let without = UpstreamCandidate { residency: ModelResidency::ModelOnly, ..offer(0) };
    let cut = UpstreamCandidate { is_unreachable: true, ..offer(0) };
    assert_eq!(choose_upstream(&[tried, without, cut], 0), None);
    let suspect = UpstreamCandidate { is_suspect: true, ..offer(0) };
    assert_eq!(choose_upstream(&[suspect, offer(12)], 0), Some(1));
    assert_eq!(choose_upstream(&[suspect], 0), Some(0), "better than none");
}

#[test]
fn store_pace_frees_place_of_ended_load() {
    // The engine goes on with another order at once: its load from the store has ended all the same.
    let mut pace = StoreLoadLimiter::default();
    let room = pace.available();
    pace.begin(at(0), engine(0), "m".into(), Duration::from_secs(6));
    pace.remove_finished(at(6), |_, model| model == "m");
    assert_eq!(pace.available(), room - 1);
    pace.remove_finished(at(7), |_, model| model == "other");
    assert_eq!(pace.available(), room);
}
