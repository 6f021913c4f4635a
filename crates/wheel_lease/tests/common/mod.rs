//! Helpers for the lease and order tests.

#![allow(clippy::unwrap_used, dead_code)]

use std::time::Duration;

use wheel_lease::{
    EngineSpec, FencingMode, GrantorSet, HolderId, HolderInput, HolderOutput, LeaseAuthority,
    LeaseGrantor, LeaseHolder, LeaseSettings, LedgerSettings, OrderLedger,
};
use wheel_types::{
    EngineState, FencingNumber, IncarnationId, InstanceName, ModelName, ModelPhase, ModelState,
    MonotonicTime, OrderAction, RequestId, UpstreamName,
};

pub(crate) fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

pub(crate) fn holder_id(name: &str) -> HolderId {
    HolderId { instance: InstanceName::from(name), incarnation: IncarnationId(1) }
}

pub(crate) fn grantor_set(epoch: u64, names: &[&str]) -> GrantorSet {
    GrantorSet { epoch, members: names.iter().map(|name| InstanceName::from(*name)).collect() }
}

/// Term 3 s, margin 0.3 s, order life 2 s, no spread.
pub(crate) fn settings() -> LeaseSettings {
    LeaseSettings { retry_spread: Duration::ZERO, ..LeaseSettings::default() }
}

/// Three grantors a, b and c whose restart wait is over at 5 s.
pub(crate) struct Grantors(pub(crate) Vec<(InstanceName, LeaseGrantor)>);

impl Grantors {
    pub(crate) fn open() -> Self {
        let names = ["a", "b", "c"];
        let open = |name| (InstanceName::from(name), LeaseGrantor::open(settings(), at(0)));
        Self(names.map(open).into())
    }

    pub(crate) fn restart(&mut self, index: usize, now: MonotonicTime) {
        self.0[index].1 = LeaseGrantor::open(settings(), now);
    }

    /// Steps the holder and delivers its requests to the `reachable` grantors until no output is
    /// left.
    pub(crate) fn drive(
        &mut self,
        now: MonotonicTime,
        holder: &mut LeaseHolder,
        input: HolderInput,
        reachable: &[usize],
    ) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in holder.step(now, input) {
                let HolderOutput::Send { to, request } = output else { continue };
                let index = self.0.iter().position(|(name, _)| *name == to).unwrap();
                if reachable.contains(&index) {
                    let reply = self.0[index].1.answer(now, &request);
                    inputs.push(HolderInput::Reply { from: to, reply });
                }
            }
        }
    }
}

pub(crate) fn open_holder(name: &str, now: MonotonicTime) -> LeaseHolder {
    LeaseHolder::open(settings(), holder_id(name), grantor_set(1, &["a", "b", "c"]), now, 1)
}

pub(crate) fn authority(number: u64, began: u64) -> LeaseAuthority {
    let number = FencingNumber(number);
    LeaseAuthority { number, began: at(began), ends: at(began + 60_000), epoch: 1 }
}

pub(crate) fn upstream(name: &str) -> UpstreamName {
    UpstreamName::from(name)
}

pub(crate) fn engine_spec(name: &str, fencing: FencingMode) -> EngineSpec {
    EngineSpec { upstream: upstream(name), memory_mib: 100, fencing }
}

/// A ledger with the engines `e1` (ignores fencing numbers) and `e2` (enforces them), order life
/// 2 s.
pub(crate) fn open_ledger() -> OrderLedger {
    let mut ledger = OrderLedger::open(LedgerSettings {
        id_prefix: "a-1".into(),
        order_life: Duration::from_secs(2),
        max_open_orders: 3,
    });
    let specs = [engine_spec("e1", FencingMode::Ignores), engine_spec("e2", FencingMode::Enforces)];
    ledger.set_engines(at(0), &specs);
    ledger
}

pub(crate) fn load(model: &str, memory_mib: u64) -> OrderAction {
    OrderAction::LoadModel { model: ModelName::from(model), version: 1, memory_mib }
}

pub(crate) fn unload(model: &str) -> OrderAction {
    OrderAction::UnloadModel { model: ModelName::from(model), version: 1 }
}

/// The state of an engine with 100 MiB and the given models.
pub(crate) fn state(models: &[(&str, u64)]) -> EngineState {
    let model_state = |(model, memory_mib): &(&str, u64)| ModelState {
        model: ModelName::from(*model),
        version: 1,
        phase: ModelPhase::Loaded,
        memory_mib: *memory_mib,
        adapters: Vec::new(),
    };
    let models = models.iter().map(model_state).collect();
    EngineState { incarnation: IncarnationId(7), memory_mib: 100, models, ..Default::default() }
}

pub(crate) fn with_order(state: EngineState, order_id: &RequestId) -> EngineState {
    EngineState { recent_orders: vec![order_id.clone()], ..state }
}
