//! Exhaustively explores the states of the order protocol within bounds.

#![allow(clippy::unwrap_used)]

mod order_spec;
mod order_world;

use pathfinding::directed::bfs::bfs_reach;
use wheel_lease::FencingMode::{Enforces, Ignores};

use crate::order_spec::INVARIANTS;
use crate::order_world::{OrderBounds, OrderFault, OrderWorld};

/// Two holders, each of which sends one order.
const TWO_HOLDERS: OrderBounds = OrderBounds {
    fencing: [Ignores; 2],
    orders: [1, 1],
    readings: [0, 2],
    restarts: 0,
    life: 2,
    first: 1,
    second: 4,
    forgotten: false,
    fault: None,
};

/// One holder that sends two orders.
const ONE_HOLDER: OrderBounds =
    OrderBounds { orders: [2, 0], readings: [2, 0], first: 4, second: 0, ..TWO_HOLDERS };

/// Visits all worlds; returns their number, or the name of the first violated invariant.
fn explore(bounds: OrderBounds) -> Result<usize, &'static str> {
    let (mut count, mut reached) = (0, false);
    for world in bfs_reach(OrderWorld::open(bounds), OrderWorld::successors) {
        count += 1;
        reached |= world.sent_count == bounds.orders;
        if let Some((name, _)) = INVARIANTS.iter().find(|(_, holds)| !holds(&world)) {
            println!("{name} violated after {count} worlds, {bounds:?}");
            return Err(name);
        }
    }
    println!("{count} worlds, {bounds:?}");
    assert!(reached, "the bounds never let all orders be sent");
    Ok(count)
}

#[test]
fn explore_one_holder() {
    explore(ONE_HOLDER).unwrap();
    explore(OrderBounds { restarts: 1, first: 3, ..ONE_HOLDER }).unwrap();
    explore(OrderBounds { orders: [3, 0], readings: [1, 0], first: 3, ..ONE_HOLDER }).unwrap();
}

#[test]
fn explore_new_holder_of_engines_that_ignore_numbers() {
    explore(OrderBounds { readings: [0, 3], ..TWO_HOLDERS }).unwrap();
    explore(OrderBounds { orders: [2, 1], ..TWO_HOLDERS }).unwrap();
    explore(OrderBounds { restarts: 1, ..TWO_HOLDERS }).unwrap();
    explore(OrderBounds { forgotten: true, ..TWO_HOLDERS }).unwrap();
}

#[test]
fn explore_new_holder_of_engines_that_enforce_numbers() {
    let bounds =
        OrderBounds { fencing: [Enforces; 2], readings: [0, 4], life: 3, second: 2, ..TWO_HOLDERS };
    explore(bounds).unwrap();
    explore(OrderBounds { readings: [0, 2], restarts: 1, ..bounds }).unwrap();
    explore(OrderBounds { readings: [0, 3], forgotten: true, ..bounds }).unwrap();
}

#[test]
fn explore_new_holder_of_both_kinds() {
    let bounds =
        OrderBounds { fencing: [Enforces, Ignores], readings: [0, 4], second: 3, ..TWO_HOLDERS };
    explore(bounds).unwrap();
    explore(OrderBounds { forgotten: true, ..bounds }).unwrap();
}

#[test]
fn explore_injected_faults_are_found() {
    let enforcing =
        OrderBounds { fencing: [Enforces; 2], readings: [0, 4], life: 3, second: 2, ..TWO_HOLDERS };
    let faults = [
        (OrderFault::AssumesRefusal, ONE_HOLDER, "replicas_bounded"),
        (OrderFault::AssumesRefusal, ONE_HOLDER, "memory_bounded"),
        (OrderFault::TrustsLateReadings, ONE_HOLDER, "replicas_bounded"),
        (OrderFault::NoOrderWait, TWO_HOLDERS, "replicas_bounded"),
        (OrderFault::NoOrderWait, TWO_HOLDERS, "numbers_grow"),
        (OrderFault::TrustsUnconfirmedFence, enforcing, "replicas_bounded"),
    ];
    for (fault, bounds, invariant) in faults {
        let (_, holds) = INVARIANTS.iter().find(|(name, _)| *name == invariant).unwrap();
        let start = OrderWorld::open(OrderBounds { fault: Some(fault), ..bounds });
        let found = bfs_reach(start, OrderWorld::successors).position(|world| !holds(&world));
        println!("{fault:?} violates {invariant} after {found:?} worlds");
        assert!(found.is_some(), "{fault:?} doesn't violate {invariant}");
    }
}
