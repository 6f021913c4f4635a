//! What the ledger knows of one engine.

use std::time::Duration;

use wheel_types::{
    EngineState, FencingNumber, ModelName, ModelPhase, ModelState, MonotonicTime, OrderAction,
};

use crate::{EngineEntry, FencingMode, LeaseAuthority, OrderRefusal};

/// One engine's account: its last reading and how far that reading can be relied on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EngineAccount {
    /// The engine as described by the text.
    pub entry: EngineEntry,
    /// False after the text dropped it; kept until its orders are settled.
    pub listed: bool,
    /// When the last reading was asked for.
    pub asked: MonotonicTime,
    /// The last reading.
    pub state: Option<EngineState>,
    /// True once no order of an earlier holder can change what the reading shows.
    pub settled: bool,
    /// When the engine confirmed an order of this tenure, so that it refuses earlier holders.
    pub fenced: Option<MonotonicTime>,
    /// The highest number that this holder's orders carried to it in this tenure.
    pub ordered: Option<FencingNumber>,
    /// True after the platform said that the engine is gone for good, until it is read again.
    pub gone: bool,
}

impl EngineAccount {
    pub(crate) fn new(entry: EngineEntry) -> Self {
        Self {
            entry,
            listed: true,
            asked: MonotonicTime::default(),
            state: None,
            settled: false,
            fenced: None,
            ordered: None,
            gone: false,
        }
    }

    /// Forgets what only the previous tenure knew.
    pub(crate) fn restart(&mut self) {
        self.settled = false;
        self.fenced = None;
        self.ordered = None;
    }

    /// Takes a reading; `quiet_from` is when no earlier holder's order can arrive any more. True
    /// if the engine has restarted since the last one.
    pub(crate) fn read(
        &mut self,
        asked: MonotonicTime,
        state: &EngineState,
        quiet_from: Option<MonotonicTime>,
    ) -> bool {
        let known = self.state.as_ref().map(|state| state.incarnation);
        let restarted = known.is_some_and(|incarnation| incarnation != state.incarnation);
        if restarted {
            // A restarted engine has forgotten the numbers that it had seen.
            self.restart();
        }
        let quiet = quiet_from.is_some_and(|quiet_from| asked >= quiet_from);
        let fenced = self.fenced.is_some_and(|fenced| asked > fenced);
        self.settled |= quiet || (quiet_from.is_some() && fenced);
        self.asked = asked;
        self.state = Some(state.clone());
        self.gone = false;
        restarted
    }

    /// The last reading, if orders may be based on it.
    pub(crate) fn readable(&self) -> Result<&EngineState, OrderRefusal> {
        match &self.state {
            Some(state) if self.listed && !self.gone => Ok(state),
            Some(_) if !self.listed => Err(OrderRefusal::UnknownEngine),
            _ => Err(OrderRefusal::NotRead),
        }
    }

    /// Refuses if the engine has seen a number that `authority` doesn't exceed.
    pub(crate) fn check_number(&self, number: FencingNumber) -> Result<(), OrderRefusal> {
        let seen = self.state.as_ref().map_or(FencingNumber::default(), |s| s.fencing_number);
        let own = self.ordered.is_some_and(|ordered| seen <= ordered);
        match seen >= number && !own {
            true => Err(OrderRefusal::Behind(seen)),
            false => Ok(()),
        }
    }

    /// Refuses while an earlier holder's order may change what the reading shows.
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

    /// Replicas of `model` that the engine holds or may hold, apart from open orders.
    pub(crate) fn count(&self, model: &ModelName) -> usize {
        let shown = self.state.iter().flat_map(|state| &state.models);
        let shown = shown.filter(|state| &state.model == model).count();
        match self.gone {
            true => 0,
            false => shown.max(usize::from(!self.settled)),
        }
    }

    /// Memory that text and engine agree on, in mebibytes.
    pub(crate) fn capacity_mib(&self, state: &EngineState) -> u64 {
        self.entry.memory_mib.min(state.memory_mib)
    }

    /// True if a fence order makes the engine refuse earlier holders.
    pub(crate) fn can_be_fenced(&self) -> bool {
        self.entry.fencing == FencingMode::Enforces
    }
}

/// Refuses an action that the engine's state doesn't allow.
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
