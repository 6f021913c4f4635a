//! The engines of a data centre and the orders sent to them.

use std::collections::BTreeMap;

use wheel_types::{
    EngineOrder, EngineState, FencingNumber, ModelName, MonotonicTime, OrderAction, RequestId,
    UpstreamName,
};

use crate::engine_record::check_presence;
use crate::{
    EngineRecord, EngineSpec, LeaseAuthority, LedgerSettings, OrderLimits, OrderPhase, OrderRecord,
    OrderRefusal, OrderResult,
};

/// Decides which orders the holder of the lease may send.
///
/// An engine counts with its last known state plus every order that this state doesn't settle. An
/// order is settled by a state that lists it, that was requested after the engine confirmed it, or
/// that was requested after the order has expired. The result of a lost answer is never assumed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderLedger {
    settings: LedgerSettings,
    engines: BTreeMap<UpstreamName, EngineRecord>,
    orders: Vec<OrderRecord>,
    sent_count: u64,
    began: Option<MonotonicTime>,
    number: FencingNumber,
}

impl OrderLedger {
    /// Opens a ledger that knows no engine and no lease.
    pub fn open(settings: LedgerSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            orders: Vec::new(),
            sent_count: 0,
            began: None,
            number: FencingNumber::default(),
        }
    }

    /// Sets the engines that the manifest lists. An engine that it dropped still counts until its
    /// open orders are settled or can't arrive any more.
    pub fn set_engines(&mut self, now: MonotonicTime, specs: &[EngineSpec]) {
        for record in self.engines.values_mut() {
            record.listed = false;
        }
        for spec in specs {
            let record = self.engines.entry(spec.upstream.clone());
            let record = record.or_insert_with(|| EngineRecord::new(spec.clone()));
            record.spec = spec.clone();
            record.listed = true;
        }
        self.prune(now);
    }

    /// Records that the platform reports an engine as gone for good. What it held no longer counts;
    /// open orders still do until they can't arrive any more.
    pub fn confirm_gone(&mut self, now: MonotonicTime, upstream: &UpstreamName) {
        if let Some(record) = self.engines.get_mut(upstream) {
            record.gone = true;
            record.requested_at = record.requested_at.max(now);
        }
    }

    /// Starts or continues a holding period. In a new one every engine must be read again after
    /// the orders of earlier holders have arrived or are lost.
    pub fn begin(&mut self, authority: &LeaseAuthority) {
        if self.began != Some(authority.began) {
            self.engines.values_mut().for_each(EngineRecord::reset);
        }
        self.began = Some(authority.began);
        self.number = authority.number;
    }

    /// Stores an engine's state that was requested at `requested_at`; one older than the last is
    /// ignored. Returns the number that the lease must exceed before orders can be sent to this
    /// engine, for [`HolderInput::Learned`](crate::HolderInput::Learned).
    pub fn observe(
        &mut self,
        requested_at: MonotonicTime,
        upstream: &UpstreamName,
        state: &EngineState,
    ) -> Option<FencingNumber> {
        let quiet_from = self.began.map(|began| began + self.settings.order_life);
        let record = self.engines.get_mut(upstream)?;
        // Of two states requested at the same time, the one that arrives later may be older.
        if record.state.is_some() && requested_at <= record.requested_at {
            return None;
        }
        let restarted = record.update(requested_at, state, quiet_from);
        let orders = self.orders.iter_mut().filter(|order| &order.upstream == upstream);
        orders.for_each(|order| order.settle(requested_at, state, restarted));
        self.orders.retain(|order| !order.settled || requested_at < order.expires);
        match record.check_number(self.number) {
            Err(OrderRefusal::Behind(seen)) if self.began.is_some() => Some(seen),
            _ => None,
        }
    }

    /// Creates the order for `action`. It must be sent at once, while the authority is valid, and
    /// must not arrive later than `order_life` from now.
    ///
    /// # Errors
    /// The reason why the order may not be sent.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        authority: &LeaseAuthority,
        upstream: &UpstreamName,
        action: OrderAction,
        limits: OrderLimits,
    ) -> Result<EngineOrder, OrderRefusal> {
        self.prepare(now, authority)?;
        let record = self.check_engine(authority, upstream)?;
        let state = record.usable_state()?;
        record.check_settled(authority, self.settings.order_life)?;
        self.check_conflicts(upstream, &action)?;
        check_presence(state, &action)?;
        self.check_memory(upstream, &action)?;
        self.check_replicas(&action, limits)?;
        self.add_order(now, authority, upstream, action, false)
    }

    /// Creates an order that changes nothing but the engine's highest fencing number, so that the
    /// engine refuses earlier holders. Once it is done, the next state that is read settles the
    /// engine.
    ///
    /// # Errors
    /// The reason why the order may not be sent.
    pub fn fence(
        &mut self,
        now: MonotonicTime,
        authority: &LeaseAuthority,
        upstream: &UpstreamName,
    ) -> Result<EngineOrder, OrderRefusal> {
        self.prepare(now, authority)?;
        let record = self.check_engine(authority, upstream)?;
        let role = record.usable_state()?.role;
        if !record.can_be_fenced() {
            return Err(OrderRefusal::NotFenced);
        }
        let action = OrderAction::SetRole { role };
        self.check_conflicts(upstream, &action)?;
        self.add_order(now, authority, upstream, action, true)
    }

    /// Records the result of an order; false if it isn't open. Memory is counted as before until a
    /// state settles the order, unless the engine refused it.
    pub fn resolve(
        &mut self,
        now: MonotonicTime,
        order_id: &RequestId,
        result: OrderResult,
    ) -> bool {
        let open = |order: &OrderRecord| {
            &order.order_id == order_id && order.phase == OrderPhase::Open && !order.settled
        };
        let Some(index) = self.orders.iter().position(open) else { return false };
        match result {
            OrderResult::Done => {
                self.orders[index].phase = OrderPhase::Done(now);
                self.record_fence(now, index);
            }
            OrderResult::Refused => drop(self.orders.remove(index)),
            OrderResult::Unknown => {}
        }
        true
    }

    /// Replicas of `model` that are or may be in this data centre: those in engine states, in
    /// orders that aren't settled, and one for each engine that isn't settled.
    pub fn replicas(&self, model: &ModelName) -> usize {
        let held: usize = self.engines.values().map(|record| record.count(model)).sum();
        let loads = |order: &&OrderRecord| matches!(&order.action, OrderAction::LoadModel { model: loaded, .. } if loaded == model);
        held + self.open_orders().filter(loads).count()
    }

    /// Memory of an engine that is certainly free, in mebibytes; zero if it wasn't read.
    pub fn free_mib(&self, upstream: &UpstreamName) -> u64 {
        let Some(record) = self.engines.get(upstream) else { return 0 };
        let Some(state) = &record.state else { return 0 };
        let orders = self.open_orders().filter(|order| &order.upstream == upstream);
        let reserved: u64 = orders.map(|order| order.action.required_mib()).sum();
        record.capacity_mib(state).saturating_sub(state.used_mib()).saturating_sub(reserved)
    }

    /// The record of one engine.
    pub fn engine(&self, upstream: &UpstreamName) -> Option<&EngineRecord> {
        self.engines.get(upstream)
    }

    /// The records of all engines, sorted by name.
    pub fn engines(&self) -> impl Iterator<Item = &EngineRecord> {
        self.engines.values()
    }

    /// The orders that aren't settled, oldest first.
    pub fn open_orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.orders.iter().filter(|order| !order.settled)
    }

    fn prepare(
        &mut self,
        now: MonotonicTime,
        authority: &LeaseAuthority,
    ) -> Result<(), OrderRefusal> {
        if !authority.is_valid(now) {
            return Err(OrderRefusal::NoAuthority);
        }
        self.begin(authority);
        self.prune(now);
        Ok(())
    }

    fn check_engine(
        &self,
        authority: &LeaseAuthority,
        upstream: &UpstreamName,
    ) -> Result<&EngineRecord, OrderRefusal> {
        let record = self.engines.get(upstream).ok_or(OrderRefusal::UnknownEngine)?;
        record.usable_state()?;
        record.check_number(authority.number)?;
        Ok(record)
    }

    fn check_conflicts(
        &self,
        upstream: &UpstreamName,
        action: &OrderAction,
    ) -> Result<(), OrderRefusal> {
        let mut orders = self.open_orders().filter(|order| &order.upstream == upstream);
        match orders.any(|order| order.conflicts_with(action)) {
            true => Err(OrderRefusal::Busy),
            false => Ok(()),
        }
    }

    fn check_memory(
        &self,
        upstream: &UpstreamName,
        action: &OrderAction,
    ) -> Result<(), OrderRefusal> {
        let free_mib = self.free_mib(upstream);
        match action.required_mib() > free_mib {
            true => Err(OrderRefusal::NoMemory { free_mib }),
            false => Ok(()),
        }
    }

    fn check_replicas(
        &self,
        action: &OrderAction,
        limits: OrderLimits,
    ) -> Result<(), OrderRefusal> {
        let OrderAction::LoadModel { model, .. } = action else { return Ok(()) };
        let counted = self.replicas(model);
        match counted >= limits.replicas {
            true => Err(OrderRefusal::EnoughReplicas { counted }),
            false => Ok(()),
        }
    }

    fn add_order(
        &mut self,
        now: MonotonicTime,
        authority: &LeaseAuthority,
        upstream: &UpstreamName,
        action: OrderAction,
        fence: bool,
    ) -> Result<EngineOrder, OrderRefusal> {
        if self.orders.len() >= self.settings.max_open_orders {
            return Err(OrderRefusal::TableFull);
        }
        let record = self.engines.get_mut(upstream).ok_or(OrderRefusal::UnknownEngine)?;
        let incarnation = record.usable_state()?.incarnation;
        record.highest_sent = Some(authority.number);
        self.sent_count += 1;
        let order_id = RequestId::new(format!("{}-{}", self.settings.id_prefix, self.sent_count));
        self.orders.push(OrderRecord {
            order_id: order_id.clone(),
            upstream: upstream.clone(),
            action: action.clone(),
            fence,
            began: authority.began,
            expires: now + self.settings.order_life,
            phase: OrderPhase::Open,
            settled: false,
        });
        Ok(EngineOrder { order_id, fencing_number: authority.number, incarnation, action })
    }

    /// A fence counts only in the holding period in which it was sent.
    fn record_fence(&mut self, now: MonotonicTime, index: usize) {
        let order = &self.orders[index];
        let record = self.engines.get_mut(&order.upstream);
        match record {
            Some(record) if order.fence && Some(order.began) == self.began => {
                record.fenced_at = Some(now);
            }
            _ => {}
        }
    }

    /// Drops engines that the manifest no longer lists and that no order can reach any more.
    fn prune(&mut self, now: MonotonicTime) {
        let engines = &self.engines;
        let listed = |name: &UpstreamName| engines.get(name).is_some_and(|found| found.listed);
        self.orders
            .retain(|order| now < order.expires || (!order.settled && listed(&order.upstream)));
        let orders = &self.orders;
        self.engines.retain(|name, record| {
            record.listed || orders.iter().any(|order| &order.upstream == name)
        });
    }
}
