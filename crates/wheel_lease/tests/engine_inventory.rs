//! The inventory of an engine counts every model and adapter that may be present.

use std::time::Duration;

use wheel_lease::{
    ChangeOutcome, EngineInventory, LoadWindow, OrderDuration, ReportedModel, ReportedStatus,
};
use wheel_types::{ModelChange, MonotonicTime};

const LOAD: OrderDuration = OrderDuration::Expected(Duration::from_secs(6));

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(seconds * 1_000)
}

fn status(accepted: u64, is_busy: bool, models: &[&str]) -> ReportedStatus {
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

fn load(model: &str) -> ModelChange {
    ModelChange::LoadModel(model.into())
}

#[test]
fn observe_stale_status() {
    let mut inventory = EngineInventory::default();
    assert!(inventory.observe(at(0), status(0, false, &["a"])));
    inventory.begin_order(load("b"));
    inventory.finish_order(at(1), 0, LOAD, ChangeOutcome::Accepted);
    assert!(!inventory.is_free());
    // A status from before the order must not make the engine look idle again.
    assert!(!inventory.observe(at(1), status(0, false, &["a"])));
    assert!(!inventory.is_free());
    assert_eq!(inventory.possible_models().len(), 2);
    assert!(inventory.observe(at(1), status(1, false, &["a", "b"])));
    assert!(inventory.is_free());
    assert_eq!(inventory.accepted_count(), 1);
}

#[test]
fn finish_order_unknown_counts_until_superseded() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(4, false, &["a"]));
    inventory.begin_order(load("b"));
    inventory.finish_order(at(1), 4, LOAD, ChangeOutcome::Unknown);
    inventory.observe(at(1), status(4, false, &["a"]));
    assert_eq!(inventory.possible_models().len(), 2, "the load may still be executed");
    inventory.begin_order(ModelChange::UnloadModel("a".into()));
    inventory.finish_order(at(2), 4, LOAD, ChangeOutcome::Accepted);
    inventory.observe(at(2), status(5, false, &[]));
    assert!(
        inventory.possible_models().is_empty(),
        "the engine has accepted a later order, so the open one can't be executed"
    );
}

/// An engine answered to something else, or its answer was one to another request.
#[test]
fn observe_count_that_never_rises_disproves_an_accepted_order() {
    for duration in [LOAD, OrderDuration::Certain(Duration::from_millis(1_500))] {
        let mut inventory = EngineInventory::default();
        inventory.observe(at(0), status(3, false, &["a"]));
        inventory.begin_order(load("b"));
        inventory.finish_order(at(1), 3, duration, ChangeOutcome::Accepted);
        assert!(!inventory.observe(at(2), status(3, false, &["a"])), "it may be counted yet");
        inventory.expire(at(3));
        assert!(inventory.observe(at(3), status(3, false, &["a"])), "it isn't counted");
        assert_eq!((inventory.accepted_count(), inventory.is_free()), (3, true));
        let usable: Vec<_> = inventory.usable_models().into_iter().map(|held| held.model).collect();
        assert_eq!(usable, ["a".into()]);
        assert_eq!(inventory.possible_models().len(), 2, "the load may still be executed");
        inventory.expire(at(20));
        assert_eq!(inventory.possible_models().len(), 1);
    }
}

#[test]
fn finish_order_accepted_keeps_an_unknown_one_until_the_engine_counts() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(4, false, &["a"]));
    inventory.begin_order(load("b"));
    inventory.finish_order(at(1), 4, LOAD, ChangeOutcome::Unknown);
    inventory.begin_order(load("c"));
    inventory.finish_order(at(2), 4, LOAD, ChangeOutcome::Accepted);
    assert_eq!(inventory.possible_models().len(), 3, "the answer may be one to another request");
    inventory.observe(at(3), status(5, false, &["a"]));
    assert_eq!(inventory.possible_models().len(), 1, "a later order was accepted");
}

#[test]
fn finish_order_unknown_expires() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(0, false, &[]));
    inventory.begin_order(load("b"));
    inventory.finish_order(at(0), 0, LOAD, ChangeOutcome::Unknown);
    inventory.expire(at(12));
    assert_eq!(inventory.possible_models().len(), 1);
    inventory.expire(at(20));
    assert!(inventory.possible_models().is_empty());
}

#[test]
fn observe_restart() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(7, false, &["a"]));
    let restarted = ReportedStatus { started_unix_ms: 2, ..status(0, false, &[]) };
    assert!(inventory.observe(at(0), restarted));
    assert_eq!((inventory.accepted_count(), inventory.possible_models().len()), (0, 0));
}

#[test]
fn usable_models_without_unloading() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(0, false, &["a", "b"]));
    inventory.begin_order(ModelChange::UnloadModel("a".into()));
    inventory.finish_order(at(0), 0, LOAD, ChangeOutcome::Unknown);
    let usable: Vec<_> = inventory.usable_models().into_iter().map(|entry| entry.model).collect();
    assert_eq!(usable, vec!["b".into()]);
}

#[test]
fn load_window_available() {
    let window = Duration::from_secs(5);
    let mut loads = LoadWindow::full(at(0), 2);
    assert_eq!(loads.available(at(4), window, 2), 0);
    assert_eq!(loads.available(at(6), window, 2), 2);
    loads.record(at(6));
    assert_eq!(loads.available(at(7), window, 2), 1);
}

#[test]
fn expire_certain_order() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(0, false, &["a"]));
    inventory.begin_order(ModelChange::UnloadModel("a".into()));
    let duration = OrderDuration::Certain(Duration::from_secs(1));
    inventory.finish_order(at(1), 0, duration, ChangeOutcome::Accepted);
    inventory.expire(at(1));
    assert!(!inventory.is_free());
    inventory.expire(at(3));
    assert!(inventory.is_free());
    assert!(inventory.possible_models().is_empty());
    // A refusal shows that it wasn't done after all: no order is sent before the next read.
    inventory.begin_order(load("b"));
    inventory.finish_order(at(3), 1, LOAD, ChangeOutcome::Refused);
    assert!(!inventory.is_free());
}

/// A round of placement may run while an order is on its way. It must not load the model elsewhere as
/// well, nor count on one that is being unloaded.
#[test]
fn begin_order_counts_before_its_answer() {
    let mut inventory = EngineInventory::default();
    inventory.observe(at(0), status(0, false, &["a"]));
    inventory.begin_order(load("b"));
    assert_eq!(inventory.possible_models().len(), 2);
    inventory.finish_order(at(1), 0, LOAD, ChangeOutcome::NotSent);
    assert_eq!(inventory.possible_models().len(), 1);
    inventory.begin_order(ModelChange::UnloadModel("a".into()));
    assert!(inventory.usable_models().is_empty());
    assert_eq!(inventory.possible_models().len(), 1, "its memory isn't free yet");
}
