//! Averages of demand fade, and the store's pace is learned.

use std::time::Duration;

use wheel_policy::{DemandBook, HeldPart, StorePace, UpstreamOffer, choose_upstream};
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
    let mut book = DemandBook::default();
    for second in 0..60 {
        book.note(at(second), "x", &[count(3, 0)]);
    }
    let rate = book.levels(at(60))[&key()].rate;
    assert!((2.5..3.5).contains(&rate), "{rate}");
    assert!(book.levels(at(90))[&key()].rate < rate / 5.0, "it fades within some time constants");
    book.expire(at(400));
    assert!(book.levels(at(400)).is_empty());
}

#[test]
fn demand_book_waiting_is_a_gauge() {
    let mut book = DemandBook::default();
    book.note(at(0), "x", &[count(1, 2)]);
    book.note(at(0), "y", &[count(1, 3)]);
    assert_eq!(book.levels(at(0))[&key()].waiting, 5);
    book.note(at(1), "x", &[]);
    assert_eq!(book.levels(at(1))[&key()].waiting, 3);
    book.forget_instance("y");
    assert_eq!(book.levels(at(1))[&key()].waiting, 0);
}

fn engine(place: usize) -> EngineId {
    EngineId { name: format!("e{place}").into(), started_unix_ms: 1 }
}

/// Runs a full batch of loads that each take `took`, and returns the limit afterwards.
fn run_batch(pace: &mut StorePace, began: u64, took: u64) -> usize {
    let places = pace.room();
    (0..places)
        .for_each(|place| pace.begin(at(began), engine(place), "m".into(), Duration::from_secs(6)));
    assert_eq!(pace.room(), 0);
    pace.follow(at(began + took), |_, _| false);
    pace.limit()
}

#[test]
fn store_pace_slows_down() {
    let mut pace = StorePace::default();
    // Four at once took twice as long as stated, all of them: the store bears two, not one.
    assert_eq!(pace.limit(), 4);
    assert_eq!(run_batch(&mut pace, 0, 12), 2);
}

#[test]
fn store_pace_tries_more() {
    let mut pace = StorePace::default();
    let first = pace.limit();
    run_batch(&mut pace, 0, 6);
    assert!(run_batch(&mut pace, 10, 6) > first);
}

fn offer(active: u32) -> UpstreamOffer {
    UpstreamOffer {
        slots: 16,
        active,
        is_near: true,
        held: HeldPart::Whole,
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
    let far = UpstreamOffer { is_near: false, ..offer(3) };
    assert_eq!(choose_upstream(&[far, near], 0), Some(1));
    let far = UpstreamOffer { is_near: false, ..offer(1) };
    assert_eq!(choose_upstream(&[far, offer(14)], 0), Some(0), "a full one isn't near enough");
}

#[test]
fn choose_upstream_able_only() {
    let tried = UpstreamOffer { was_tried: true, ..offer(0) };
    let without = UpstreamOffer { held: HeldPart::ModelOnly, ..offer(0) };
    let cut = UpstreamOffer { is_unreachable: true, ..offer(0) };
    assert_eq!(choose_upstream(&[tried, without, cut], 0), None);
    let suspect = UpstreamOffer { is_suspect: true, ..offer(0) };
    assert_eq!(choose_upstream(&[suspect, offer(12)], 0), Some(1));
    assert_eq!(choose_upstream(&[suspect], 0), Some(0), "better than none");
}

#[test]
fn store_pace_frees_place_of_ended_load() {
    // The engine goes on with another order at once: its load from the store has ended all the same.
    let mut pace = StorePace::default();
    let room = pace.room();
    pace.begin(at(0), engine(0), "m".into(), Duration::from_secs(6));
    pace.follow(at(6), |_, model| model == "m");
    assert_eq!(pace.room(), room - 1);
    pace.follow(at(7), |_, model| model == "other");
    assert_eq!(pace.room(), room);
}
