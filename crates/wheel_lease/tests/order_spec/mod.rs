//! Invariants of orders over a world of engines and two successive holders.

use wheel_types::{EngineState, ModelName};

use crate::order_world::{MODELS, OrderWorld, TARGET_REPLICAS};

/// An invariant with its name.
pub(crate) type Invariant = (&'static str, fn(&OrderWorld) -> bool);

pub(crate) const INVARIANTS: [Invariant; 3] = [
    ("replicas_bounded", replicas_bounded),
    ("memory_bounded", memory_bounded),
    ("numbers_grow", numbers_grow),
];

/// The loaded replicas of a model never exceed the target.
fn replicas_bounded(world: &OrderWorld) -> bool {
    MODELS.map(ModelName::from).iter().all(|model| {
        let models = world.engines.iter().flat_map(|state| &state.models);
        models.filter(|state| &state.model == model).count() <= TARGET_REPLICAS
    })
}

/// An engine's models never take more memory than it has.
fn memory_bounded(world: &OrderWorld) -> bool {
    let fits = |state: &EngineState| state.used_mib() <= state.memory_mib;
    world.engines.iter().all(fits)
}

/// No engine executes an order with a lower number, or of an earlier holder, than the last one.
fn numbers_grow(world: &OrderWorld) -> bool {
    !world.executed_out_of_order
}
