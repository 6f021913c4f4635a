//! Invariants of the lease over a world of grantors, holders and messages.

use crate::lease_world::{LeaseRecord, LeaseWorld, settings};

/// An invariant with its name.
pub(crate) type Invariant = (&'static str, fn(&LeaseWorld) -> bool);

pub(crate) const INVARIANTS: [Invariant; 3] =
    [("one_holder", one_holder), ("numbers_grow", numbers_grow), ("late_enough", late_enough)];

/// At most one holder may act at a time.
fn one_holder(world: &LeaseWorld) -> bool {
    world.acting() <= 1
}

/// Each lease has a higher number than the previous one, unless a grantor has restarted since.
fn numbers_grow(world: &LeaseWorld) -> bool {
    pairs(world).all(|(one, next)| one.forgotten || one.number < next.number)
}

/// A lease whose number isn't higher begins after the orders of the previous one have arrived or
/// are lost.
fn late_enough(world: &LeaseWorld) -> bool {
    let quiet = |lease: &LeaseRecord| lease.ends + settings().order_life;
    pairs(world).all(|(one, next)| one.number < next.number || next.began >= quiet(one))
}

fn pairs(world: &LeaseWorld) -> impl Iterator<Item = (&LeaseRecord, &LeaseRecord)> {
    world.leases.iter().zip(world.leases.iter().skip(1))
}
