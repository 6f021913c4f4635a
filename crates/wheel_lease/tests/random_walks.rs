//! Long random walks through the model worlds, with bounds too large for an exhaustive search.
//! `WHEEL_LEASE_CASES` sets the number of walks; the seed is fixed.

#![allow(clippy::unwrap_used)]

mod lease_spec;
#[allow(dead_code)] // Not every injected fault is used here.
mod lease_world;
mod order_spec;
#[allow(dead_code)] // As above.
mod order_world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use wheel_lease::FencingMode::{Enforces, Ignores};

use crate::lease_world::{LeaseFault, LeaseWorld, WorldBounds};
use crate::order_world::{OrderBounds, OrderFault, OrderWorld};

const LEASE: WorldBounds = WorldBounds {
    seconds: 40,
    losses: 20,
    late: 15,
    cuts: 0,
    restarts: 6,
    freezes: 6,
    releases: 0,
    changes: false,
    fault: None,
};

const ORDERS: OrderBounds = OrderBounds {
    fencing: [Enforces, Ignores],
    orders: [6, 6],
    readings: [10, 10],
    restarts: 2,
    life: 3,
    first: 6,
    second: 10,
    forgotten: false,
    fault: None,
};

/// Takes the steps that `picks` choose and checks every invariant after each.
fn walk<World>(
    start: World,
    successors: impl Fn(&World) -> Vec<World>,
    violated: impl Fn(&World) -> Option<&'static str>,
    picks: &[u16],
) -> Result<(), TestCaseError> {
    let mut world = start;
    for pick in picks {
        let mut next = successors(&world);
        if next.is_empty() {
            break;
        }
        world = next.swap_remove(usize::from(*pick) % next.len());
        prop_assert_eq!(violated(&world), None);
    }
    Ok(())
}

fn run(steps: usize, walk: impl Fn(&[u16]) -> Result<(), TestCaseError>) -> Result<(), String> {
    let cases = std::env::var("WHEEL_LEASE_CASES").ok().and_then(|cases| cases.parse().ok());
    let cases = cases.unwrap_or(600);
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let picks = proptest::collection::vec(any::<u16>(), steps);
    runner.run(&picks, |picks| walk(&picks)).map_err(|error| error.to_string())
}

fn walk_lease(bounds: WorldBounds) -> Result<(), String> {
    let violated = |world: &LeaseWorld| {
        let invariant = lease_spec::INVARIANTS.iter().find(|(_, holds)| !holds(world));
        invariant.map(|(name, _)| *name)
    };
    run(800, |picks| walk(LeaseWorld::open(bounds), LeaseWorld::successors, violated, picks))
}

fn walk_orders(bounds: OrderBounds) -> Result<(), String> {
    let violated = |world: &OrderWorld| {
        let invariant = order_spec::INVARIANTS.iter().find(|(_, holds)| !holds(world));
        invariant.map(|(name, _)| *name)
    };
    run(250, |picks| walk(OrderWorld::open(bounds), OrderWorld::successors, violated, picks))
}

#[test]
fn walk_lease_keeps_every_invariant() {
    walk_lease(LEASE).unwrap();
}

#[test]
fn walk_lease_with_an_injected_fault_is_found() {
    assert!(walk_lease(WorldBounds { fault: Some(LeaseFault::ActsTooLong), ..LEASE }).is_err());
}

#[test]
fn walk_orders_keeps_every_invariant() {
    walk_orders(ORDERS).unwrap();
    walk_orders(OrderBounds { forgotten: true, ..ORDERS }).unwrap();
    walk_orders(OrderBounds { fencing: [Ignores; 2], ..ORDERS }).unwrap();
}

#[test]
fn walk_orders_with_an_injected_fault_is_found() {
    let fault = Some(OrderFault::AssumesRefusal);
    assert!(walk_orders(OrderBounds { fault, ..ORDERS }).is_err());
}
