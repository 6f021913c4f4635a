//! The inventory of an engine counts every model and adapter that may be present.

use std::time::Duration;

use wheel_lease::{
    ChangeOutcome, EngineInventory, LoadWindow, OrderDuration, ReportedModel, ReportedStatus,
};
use wheel_types::{HeldChange, MonotonicTime};

const LOAD: OrderDuration = OrderDuration::Expected(Duration::from_secs(6));

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn reading(accepted: u64, is_busy: bool, models: &[&str]) -> ReportedStatus {
    let models =
        models.iter().map(|name| ReportedModel { model: (*name).into(), adapters: vec![] });
    ReportedStatus {
        started_unix_ms: 1,
        accepted,
        is_busy,
        models: models.collect(),
        ..Default::default()
    }
}

fn load(model: &str) -> HeldChange {
    HeldChange::LoadModel(model.into())
}

#[test]
fn observe_stale_reading() {
    let mut account = EngineInventory::default();
    assert!(account.observe(reading(0, false, &["a"])));
    account.begin_order();
    account.finish_order(at(1), load("b"), 0, LOAD, ChangeOutcome::Accepted);
    assert!(!account.is_free());
    // A reading from before the order must not make the engine look idle again.
    assert!(!account.observe(reading(0, false, &["a"])));
    assert!(!account.is_free());
    assert_eq!(account.possible_models().len(), 2);
    assert!(account.observe(reading(1, false, &["a", "b"])));
    assert!(account.is_free());
    assert_eq!(account.accepted_count(), 1);
}

#[test]
fn end_unknown_counts_until_outrun() {
    let mut account = EngineInventory::default();
    account.observe(reading(4, false, &["a"]));
    account.begin_order();
    account.finish_order(at(1), load("b"), 4, LOAD, ChangeOutcome::Unknown);
    account.observe(reading(4, false, &["a"]));
    assert_eq!(account.possible_models().len(), 2, "the load may still be executed");
    account.begin_order();
    account.finish_order(
        at(2),
        HeldChange::UnloadModel("a".into()),
        4,
        LOAD,
        ChangeOutcome::Accepted,
    );
    account.observe(reading(5, false, &[]));
    assert!(
        account.possible_models().is_empty(),
        "the engine has accepted a later order, so the open one can't be executed"
    );
}

#[test]
fn end_unknown_expires() {
    let mut account = EngineInventory::default();
    account.observe(reading(0, false, &[]));
    account.begin_order();
    account.finish_order(at(0), load("b"), 0, LOAD, ChangeOutcome::Unknown);
    account.expire(at(12));
    assert_eq!(account.possible_models().len(), 1);
    account.expire(at(20));
    assert!(account.possible_models().is_empty());
}

#[test]
fn observe_restart() {
    let mut account = EngineInventory::default();
    account.observe(reading(7, false, &["a"]));
    let reborn = ReportedStatus { started_unix_ms: 2, ..reading(0, false, &[]) };
    assert!(account.observe(reborn));
    assert_eq!((account.accepted_count(), account.possible_models().len()), (0, 0));
}

#[test]
fn usable_without_unloading() {
    let mut account = EngineInventory::default();
    account.observe(reading(0, false, &["a", "b"]));
    account.begin_order();
    account.finish_order(
        at(0),
        HeldChange::UnloadModel("a".into()),
        0,
        LOAD,
        ChangeOutcome::Unknown,
    );
    let usable: Vec<_> = account.usable_models().into_iter().map(|entry| entry.model).collect();
    assert_eq!(usable, vec!["b".into()]);
}

#[test]
fn load_window_room() {
    let window = Duration::from_secs(5);
    let mut loads = LoadWindow::full(at(0), 2);
    assert_eq!(loads.available(at(4), window, 2), 0);
    assert_eq!(loads.available(at(6), window, 2), 2);
    loads.record(at(6));
    assert_eq!(loads.available(at(7), window, 2), 1);
}

#[test]
fn expire_certain_order() {
    let mut account = EngineInventory::default();
    account.observe(reading(0, false, &["a"]));
    account.begin_order();
    let takes = OrderDuration::Certain(Duration::from_secs(1));
    account.finish_order(
        at(1),
        HeldChange::UnloadModel("a".into()),
        0,
        takes,
        ChangeOutcome::Accepted,
    );
    account.expire(at(1));
    assert!(!account.is_free());
    account.expire(at(3));
    assert!(account.is_free());
    assert!(account.possible_models().is_empty());
    // A refusal shows that it wasn't done after all: no order is sent before a new reading.
    account.begin_order();
    account.finish_order(at(3), load("b"), 1, LOAD, ChangeOutcome::Refused);
    assert!(!account.is_free());
}
