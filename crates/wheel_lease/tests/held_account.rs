//! An engine's account counts everything that may be there.

use std::time::Duration;

use wheel_lease::{ChangeEnd, EngineReading, HeldAccount, HeldEntry, LoadWindow, OrderTime};
use wheel_types::{ModelChange, MonotonicTime};

const LOAD: OrderTime = OrderTime::Expected(Duration::from_secs(6));

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn reading(accepted: u64, is_busy: bool, models: &[&str]) -> EngineReading {
    let models = models.iter().map(|name| HeldEntry { model: (*name).into(), adapters: vec![] });
    EngineReading { born: 1, accepted, is_busy, models: models.collect(), ..Default::default() }
}

fn load(model: &str) -> ModelChange {
    ModelChange::LoadModel(model.into())
}

#[test]
fn observe_stale_reading() {
    let mut account = HeldAccount::default();
    assert!(account.observe(reading(0, false, &["a"])));
    account.begin();
    account.end(at(1), load("b"), 0, LOAD, ChangeEnd::Accepted);
    assert!(!account.is_free());
    // A reading from before the order must not make the engine look idle again.
    assert!(!account.observe(reading(0, false, &["a"])));
    assert!(!account.is_free());
    assert_eq!(account.possible_models().len(), 2);
    assert!(account.observe(reading(1, false, &["a", "b"])));
    assert!(account.is_free());
    assert_eq!(account.expect(), 1);
}

#[test]
fn end_unknown_counts_until_outrun() {
    let mut account = HeldAccount::default();
    account.observe(reading(4, false, &["a"]));
    account.begin();
    account.end(at(1), load("b"), 4, LOAD, ChangeEnd::Unknown);
    account.observe(reading(4, false, &["a"]));
    assert_eq!(account.possible_models().len(), 2, "it may still be loaded");
    account.begin();
    account.end(at(2), ModelChange::UnloadModel("a".into()), 4, LOAD, ChangeEnd::Accepted);
    account.observe(reading(5, false, &[]));
    assert!(account.possible_models().is_empty(), "the guard of the open order has passed");
}

#[test]
fn end_unknown_expires() {
    let mut account = HeldAccount::default();
    account.observe(reading(0, false, &[]));
    account.begin();
    account.end(at(0), load("b"), 0, LOAD, ChangeEnd::Unknown);
    account.expire(at(12));
    assert_eq!(account.possible_models().len(), 1);
    account.expire(at(20));
    assert!(account.possible_models().is_empty());
}

#[test]
fn observe_restart() {
    let mut account = HeldAccount::default();
    account.observe(reading(7, false, &["a"]));
    let reborn = EngineReading { born: 2, ..reading(0, false, &[]) };
    assert!(account.observe(reborn));
    assert_eq!((account.expect(), account.possible_models().len()), (0, 0));
}

#[test]
fn usable_without_unloading() {
    let mut account = HeldAccount::default();
    account.observe(reading(0, false, &["a", "b"]));
    account.begin();
    account.end(at(0), ModelChange::UnloadModel("a".into()), 0, LOAD, ChangeEnd::Unknown);
    let usable: Vec<_> = account.usable().into_iter().map(|entry| entry.model).collect();
    assert_eq!(usable, vec!["b".into()]);
}

#[test]
fn load_window_room() {
    let window = Duration::from_secs(5);
    let mut loads = LoadWindow::full(at(0), 2);
    assert_eq!(loads.room(at(4), window, 2), 0);
    assert_eq!(loads.room(at(6), window, 2), 2);
    loads.note(at(6));
    assert_eq!(loads.room(at(7), window, 2), 1);
}

#[test]
fn expire_certain_order() {
    let mut account = HeldAccount::default();
    account.observe(reading(0, false, &["a"]));
    account.begin();
    let takes = OrderTime::Certain(Duration::from_secs(1));
    account.end(at(1), ModelChange::UnloadModel("a".into()), 0, takes, ChangeEnd::Accepted);
    account.expire(at(1));
    assert!(!account.is_free());
    account.expire(at(3));
    assert!(account.is_free());
    assert!(account.possible_models().is_empty());
    // A refusal shows that it wasn't done after all: nothing is ordered before a reading.
    account.begin();
    account.end(at(3), load("b"), 1, LOAD, ChangeEnd::Refused);
    assert!(!account.is_free());
}
