//! What orders promise, over a world of engines and two holders in turn.

use wheel_types::{EngineState, ModelName};

use crate::order_world::{DECIDED, MODELS, OrderWorld};

/// A promise with its name.
pub(crate) type Promise = (&'static str, fn(&OrderWorld) -> bool);

pub(crate) const PROMISES: [Promise; 3] = [
    ("replicas_bounded", replicas_bounded),
    ("memory_bounded", memory_bounded),
    ("numbers_grow", numbers_grow),
];

/// Never are more replicas of a model loaded than were decided.
fn replicas_bounded(world: &OrderWorld) -> bool {
    MODELS.map(ModelName::from).iter().all(|model| {
        let models = world.engines.iter().flat_map(|state| &state.models);
        models.filter(|state| &state.model == model).count() <= DECIDED
    })
}

/// Never do an engine's models take more memory than it has.
fn memory_bounded(world: &OrderWorld) -> bool {
    let fits = |state: &EngineState| state.used_mib() <= state.memory_mib;
    world.engines.iter().all(fits)
}

/// No engine carries out an order with a lower number, or of an earlier holder, than the last one.
fn numbers_grow(world: &OrderWorld) -> bool {
    !world.went_back
}
