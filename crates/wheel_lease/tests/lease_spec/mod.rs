//! What the lease promises, over a world of grantors, holders and messages.

use crate::lease_world::{HeldLease, LeaseWorld, settings};

/// A promise with its name.
pub(crate) type Promise = (&'static str, fn(&LeaseWorld) -> bool);

pub(crate) const PROMISES: [Promise; 3] =
    [("one_holder", one_holder), ("numbers_grow", numbers_grow), ("late_enough", late_enough)];

/// Never may two holders act at one time.
fn one_holder(world: &LeaseWorld) -> bool {
    world.acting() <= 1
}

/// Each lease has a higher number than the one before, unless a grantor has restarted since.
fn numbers_grow(world: &LeaseWorld) -> bool {
    pairs(world).all(|(one, next)| one.forgotten || one.number < next.number)
}

/// A lease whose number isn't higher begins after the orders of the one before have arrived or
/// are lost.
fn late_enough(world: &LeaseWorld) -> bool {
    let quiet = |lease: &HeldLease| lease.ends + settings().order_life;
    pairs(world).all(|(one, next)| one.number < next.number || next.began >= quiet(one))
}

fn pairs(world: &LeaseWorld) -> impl Iterator<Item = (&HeldLease, &HeldLease)> {
    world.leases.iter().zip(world.leases.iter().skip(1))
}
