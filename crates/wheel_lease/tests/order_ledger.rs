//! The ledger counts every order that may have been executed.

#![allow(clippy::unwrap_used)]

mod common;

use wheel_lease::{OrderLedger, OrderLimits, OrderRefusal, OrderResult};
use wheel_types::{EngineState, FencingNumber, IncarnationId, ModelName};

use crate::common::{at, authority, load, open_ledger, state, unload, upstream, with_order};

const TWO: OrderLimits = OrderLimits { replicas: 2 };

/// A ledger whose lease has number 5 and began at 10 s; both engines were read empty and settled
/// at 12 s.
fn start() -> OrderLedger {
    let mut ledger = open_ledger();
    ledger.begin(&authority(5, 10_000));
    for name in ["e1", "e2"] {
        assert_eq!(ledger.observe(at(12_000), &upstream(name), &state(&[])), None);
    }
    ledger
}

fn admit(
    ledger: &mut OrderLedger,
    now: u64,
    engine: &str,
    action: wheel_types::OrderAction,
) -> Result<wheel_types::EngineOrder, OrderRefusal> {
    ledger.admit(at(now), &authority(5, 10_000), &upstream(engine), action, TWO)
}

#[test]
fn admit_counts_orders_without_an_answer() {
    let mut ledger = start();
    let order = admit(&mut ledger, 12_000, "e1", load("m", 60)).unwrap();
    assert_eq!((order.fencing_number, order.incarnation), (FencingNumber(5), IncarnationId(7)));
    assert!(ledger.resolve(at(12_100), &order.order_id, OrderResult::Unknown));
    let refusal = admit(&mut ledger, 12_200, "e1", load("n", 60)).unwrap_err();
    assert_eq!(refusal, OrderRefusal::NoMemory { free_mib: 40 });
    assert_eq!(ledger.replicas(&ModelName::from("m")), 1);

    // A state requested before the order expires proves nothing; one requested later settles it.
    ledger.observe(at(13_999), &upstream("e1"), &state(&[]));
    assert_eq!(ledger.free_mib(&upstream("e1")), 40);
    ledger.observe(at(14_000), &upstream("e1"), &state(&[]));
    assert_eq!(ledger.free_mib(&upstream("e1")), 100);
    assert_eq!(ledger.open_orders().count(), 0);
}

#[test]
fn observe_requested_before_the_answer_settles_nothing() {
    let mut ledger = start();
    let order = admit(&mut ledger, 12_100, "e1", load("m", 60)).unwrap();
    ledger.resolve(at(12_500), &order.order_id, OrderResult::Done);
    ledger.observe(at(12_400), &upstream("e1"), &state(&[]));
    assert_eq!(ledger.free_mib(&upstream("e1")), 40);
    ledger.observe(at(12_501), &upstream("e1"), &state(&[("m", 60)]));
    ledger.observe(at(12_300), &upstream("e1"), &state(&[]));
    ledger.observe(at(12_501), &upstream("e1"), &state(&[]));
    assert_eq!(ledger.free_mib(&upstream("e1")), 40);
    assert_eq!(ledger.replicas(&ModelName::from("m")), 1);
}

#[test]
fn admit_unloaded_memory_is_free_after_a_reading() {
    let mut ledger = start();
    ledger.observe(at(12_100), &upstream("e1"), &state(&[("m", 60)]));
    let order = admit(&mut ledger, 12_200, "e1", unload("m")).unwrap();
    ledger.resolve(at(12_300), &order.order_id, OrderResult::Done);
    assert!(matches!(
        admit(&mut ledger, 12_400, "e1", load("n", 60)),
        Err(OrderRefusal::NoMemory { free_mib: 40 })
    ));
    ledger.observe(at(12_400), &upstream("e1"), &with_order(state(&[]), &order.order_id));
    admit(&mut ledger, 12_500, "e1", load("n", 60)).unwrap();
}

#[test]
fn admit_replicas_stay_within_the_target() {
    let mut ledger = start();
    admit(&mut ledger, 12_000, "e1", load("m", 10)).unwrap();
    assert_eq!(admit(&mut ledger, 12_000, "e1", load("m", 10)), Err(OrderRefusal::Busy));
    let order = admit(&mut ledger, 12_000, "e2", load("m", 10)).unwrap();
    ledger.resolve(at(12_100), &order.order_id, OrderResult::Refused);
    admit(&mut ledger, 12_200, "e2", load("m", 10)).unwrap();
    assert_eq!(ledger.replicas(&ModelName::from("m")), 2);
    let limits = OrderLimits { replicas: 2 };
    ledger.set_engines(
        at(12_200),
        &["e1", "e2", "e3"]
            .map(|name| common::engine_spec(name, wheel_lease::FencingMode::Ignores)),
    );
    let engine = upstream("e3");
    let refusal = ledger.admit(at(12_200), &authority(5, 10_000), &engine, load("m", 1), limits);
    assert_eq!(refusal, Err(OrderRefusal::NotRead));
    ledger.observe(at(12_300), &engine, &state(&[]));
    let refusal = ledger.admit(at(12_300), &authority(5, 10_000), &engine, load("m", 1), limits);
    assert_eq!(refusal, Err(OrderRefusal::EnoughReplicas { counted: 2 }));
    let full = (0..2).map(|n| admit(&mut ledger, 12_400, "e3", load(&format!("x{n}"), 1)));
    assert_eq!(full.last().unwrap(), Err(OrderRefusal::TableFull));
}

#[test]
fn admit_new_holder_waits_out_earlier_orders() {
    let mut ledger = start();
    let next = authority(6, 20_000);
    ledger.begin(&next);
    ledger.observe(at(21_999), &upstream("e1"), &state(&[]));
    let early = ledger.admit(at(22_500), &next, &upstream("e1"), load("m", 1), TWO);
    assert_eq!(early, Err(OrderRefusal::Unsettled { until: at(22_000) }));
    ledger.observe(at(22_000), &upstream("e1"), &state(&[]));
    // The other engine may still have a replica, so the target of one may be reached already.
    let one = OrderLimits { replicas: 1 };
    let counted = ledger.admit(at(22_500), &next, &upstream("e1"), load("m", 1), one);
    assert_eq!(counted, Err(OrderRefusal::EnoughReplicas { counted: 1 }));
    ledger.admit(at(22_500), &next, &upstream("e1"), load("m", 1), TWO).unwrap();
}

#[test]
fn fence_settles_an_engine_that_refuses_old_numbers() {
    let mut ledger = start();
    let next = authority(6, 20_000);
    ledger.begin(&next);
    let engine = upstream("e2");
    ledger.observe(at(20_100), &engine, &state(&[]));
    assert_eq!(ledger.fence(at(20_100), &next, &upstream("e1")), Err(OrderRefusal::NotFenced));
    let order = ledger.fence(at(20_100), &next, &engine).unwrap();
    ledger.resolve(at(20_200), &order.order_id, OrderResult::Done);
    ledger.observe(at(20_150), &engine, &state(&[]));
    assert!(!ledger.engine(&engine).unwrap().settled, "requested before the fence was confirmed");
    let seen = EngineState { fencing_number: FencingNumber(6), ..state(&[]) };
    ledger.observe(at(20_201), &engine, &seen);
    ledger.admit(at(20_300), &next, &engine, load("m", 1), TWO).unwrap();

    // A restarted engine has forgotten the fence.
    let restarted = EngineState { incarnation: IncarnationId(8), ..state(&[]) };
    ledger.observe(at(20_400), &engine, &restarted);
    assert!(!ledger.engine(&engine).unwrap().settled);
}

#[test]
fn observe_number_of_another_holder_must_be_exceeded() {
    let mut ledger = open_ledger();
    ledger.begin(&authority(5, 10_000));
    let engine = upstream("e2");
    let seen = EngineState { fencing_number: FencingNumber(5), ..state(&[]) };
    assert_eq!(ledger.observe(at(12_000), &engine, &seen), Some(FencingNumber(5)));
    let refusal = ledger.admit(at(12_100), &authority(5, 10_000), &engine, load("m", 1), TWO);
    assert_eq!(refusal, Err(OrderRefusal::Behind(FencingNumber(5))));
    let raised = authority(6, 10_000);
    ledger.begin(&raised);
    ledger.admit(at(12_100), &raised, &engine, load("m", 1), TWO).unwrap();
    let seen = EngineState { fencing_number: FencingNumber(6), ..state(&[]) };
    assert_eq!(ledger.observe(at(12_200), &engine, &seen), None);
}

#[test]
fn admit_after_the_lease_refuses() {
    let mut ledger = start();
    assert_eq!(admit(&mut ledger, 70_000, "e1", load("m", 1)), Err(OrderRefusal::NoAuthority));
}

#[test]
fn set_engines_dropped_engine_counts_until_its_orders_end() {
    let mut ledger = start();
    admit(&mut ledger, 12_000, "e1", load("m", 1)).unwrap();
    let kept = [common::engine_spec("e2", wheel_lease::FencingMode::Ignores)];
    ledger.set_engines(at(12_100), &kept);
    assert_eq!(ledger.replicas(&ModelName::from("m")), 1);
    let refusal = admit(&mut ledger, 12_200, "e1", load("n", 1)).unwrap_err();
    assert_eq!(refusal, OrderRefusal::UnknownEngine);
    ledger.set_engines(at(14_000), &kept);
    assert_eq!(ledger.replicas(&ModelName::from("m")), 0);
}
