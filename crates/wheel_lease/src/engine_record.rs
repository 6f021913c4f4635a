//! What the ledger knows of one engine.

use std::time::Duration;

use wheel_types::{
    EngineState, FencingNumber, ModelName, ModelPhase, ModelState, MonotonicTime, OrderAction,
};

use crate::{EngineSpec, FencingMode, LeaseAuthority, OrderRefusal};

/// The last known state of one engine and how far it can be relied on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EngineRecord {
    /// The engine as described by the manifest.
    pub spec: EngineSpec,
    /// False once the manifest no longer lists it; the record is kept until its orders are settled.
    pub listed: bool,
    /// When the last state was requested.
    pub requested_at: MonotonicTime,
    /// The last state that was read.
    pub state: Option<EngineState>,
    /// True once no order of an earlier holder can change the state that was read.
    pub settled: bool,
    /// When the engine confirmed an order of this holding period, so that it refuses earlier
    /// holders.
    pub fenced_at: Option<MonotonicTime>,
    /// The highest number that this holder's orders carried in this holding period.
    pub highest_sent: Option<FencingNumber>,
    /// True after the platform reported that the engine is gone for good, until it is read again.
    pub gone: bool,
}

impl EngineRecord {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            listed: true,
            requested_at: MonotonicTime::default(),
            state: None,
            settled: false,
            fenced_at: None,
            highest_sent: None,
            gone: false,
        }
    }

    /// Discards what is valid for one holding period only.
    pub(crate) fn reset(&mut self) {
        self.settled = false;
        self.fenced_at = None;
        self.highest_sent = None;
    }

    /// Stores a state that was read; from `quiet_from` on, no earlier holder's order can arrive any
    /// more. Returns true if the engine has restarted since the last state.
    pub(crate) fn update(
        &mut self,
        requested_at: MonotonicTime,
        state: &EngineState,
        quiet_from: Option<MonotonicTime>,
    ) -> bool {
        let known = self.state.as_ref().map(|state| state.incarnation);
        let restarted = known.is_some_and(|incarnation| incarnation != state.incarnation);
        if restarted {
            // A restarted engine has forgotten which numbers it has seen.
            self.reset();
        }
        let quiet = quiet_from.is_some_and(|quiet_from| requested_at >= quiet_from);
        let fenced = self.fenced_at.is_some_and(|fenced_at| requested_at > fenced_at);
        self.settled |= quiet || (quiet_from.is_some() && fenced);
        self.requested_at = requested_at;
        self.state = Some(state.clone());
        self.gone = false;
        restarted
    }

    /// The last state, if orders may be based on it.
    pub(crate) fn usable_state(&self) -> Result<&EngineState, OrderRefusal> {
        match &self.state {
            Some(state) if self.listed && !self.gone => Ok(state),
            Some(_) if !self.listed => Err(OrderRefusal::UnknownEngine),
            _ => Err(OrderRefusal::NotRead),
        }
    }

    /// Refuses if the engine has seen a number of another holder that `number` doesn't exceed.
    pub(crate) fn check_number(&self, number: FencingNumber) -> Result<(), OrderRefusal> {
        let seen = self.state.as_ref().map_or(FencingNumber::default(), |s| s.fencing_number);
        let is_own = self.highest_sent.is_some_and(|sent| seen <= sent);
        match seen >= number && !is_own {
            true => Err(OrderRefusal::Behind(seen)),
            false => Ok(()),
        }
    }

    /// Refuses while an earlier holder's order may still change the state that was read.
    pub(crate) fn check_settled(
        &self,
        authority: &LeaseAuthority,
        order_life: Duration,
    ) -> Result<(), OrderRefusal> {
        match self.settled {
            true => Ok(()),
            false => Err(OrderRefusal::Unsettled { until: authority.began + order_life }),
        }
    }

    /// Replicas of `model` that the engine holds or may hold, not counting open orders.
    pub(crate) fn count(&self, model: &ModelName) -> usize {
        let shown = self.state.iter().flat_map(|state| &state.models);
        let shown = shown.filter(|state| &state.model == model).count();
        match self.gone {
            true => 0,
            false => shown.max(usize::from(!self.settled)),
        }
    }

    /// The lower of the memory sizes stated by manifest and engine, in mebibytes.
    pub(crate) fn capacity_mib(&self, state: &EngineState) -> u64 {
        self.spec.memory_mib.min(state.memory_mib)
    }

    /// True if a fence order makes the engine refuse earlier holders.
    pub(crate) fn can_be_fenced(&self) -> bool {
        self.spec.fencing == FencingMode::Enforces
    }
}

/// Refuses an action that conflicts with what the engine's state shows as present.
pub(crate) fn check_presence(
    state: &EngineState,
    action: &OrderAction,
) -> Result<(), OrderRefusal> {
    let takes = action.required_mib() > 0 || matches!(action, OrderAction::LoadModel { .. });
    let present = match action {
        _ if takes && state.leaving => return Err(OrderRefusal::Leaving),
        OrderAction::SetRole { .. } => return Ok(()),
        OrderAction::LoadModel { model, version, .. }
        | OrderAction::UnloadModel { model, version } => find(state, model, *version).is_some(),
        OrderAction::LoadAdapter { model, adapter, .. }
        | OrderAction::UnloadAdapter { model, adapter } => match loaded(state, model) {
            Some(found) => found.adapters.iter().any(|held| &held.adapter == adapter),
            None => return Err(OrderRefusal::NotPresent),
        },
    };
    let loads = matches!(action, OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. });
    match present {
        true if loads => Err(OrderRefusal::AlreadyPresent),
        false if !loads => Err(OrderRefusal::NotPresent),
        _ => Ok(()),
    }
}

fn find<'a>(state: &'a EngineState, model: &ModelName, version: u32) -> Option<&'a ModelState> {
    state.models.iter().find(|found| &found.model == model && found.version == version)
}

fn loaded<'a>(state: &'a EngineState, model: &ModelName) -> Option<&'a ModelState> {
    let mut models = state.models.iter();
    models.find(|found| &found.model == model && found.phase == ModelPhase::Loaded)
}
