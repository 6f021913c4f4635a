//! The accounts of all engines of a data centre.

use std::collections::BTreeMap;

use wheel_types::{
    EngineOrder, EngineState, FencingNumber, ModelName, MonotonicTime, OrderAction, RequestId,
    UpstreamName,
};

use crate::engine_account::check_presence;
use crate::{
    EngineAccount, EngineEntry, LeaseAuthority, LedgerSettings, OrderLimits, OrderPhase,
    OrderRecord, OrderRefusal, OrderResult,
};

/// Decides which orders the holder of the lease may give.
///
/// An engine's account is its last reading plus every order that the reading doesn't settle. An
/// order is settled by a reading that names it, that was asked for after the engine confirmed it,
/// or that was asked for after the order's longest life. An answer that was lost is never guessed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderLedger {
    settings: LedgerSettings,
    accounts: BTreeMap<UpstreamName, EngineAccount>,
    orders: Vec<OrderRecord>,
    given: u64,
    began: Option<MonotonicTime>,
    number: FencingNumber,
}

impl OrderLedger {
    /// Opens a ledger that knows no engine and no lease.
    pub fn open(settings: LedgerSettings) -> Self {
        Self {
            settings,
            accounts: BTreeMap::new(),
            orders: Vec::new(),
            given: 0,
            began: None,
            number: FencingNumber::default(),
        }
    }

    /// Sets the engines that the text lists. A dropped engine still counts until its open orders
    /// are settled or can't arrive any more.
    pub fn set_engines(&mut self, now: MonotonicTime, entries: &[EngineEntry]) {
        for account in self.accounts.values_mut() {
            account.listed = false;
        }
        for entry in entries {
            let account = self.accounts.entry(entry.upstream.clone());
            let account = account.or_insert_with(|| EngineAccount::new(entry.clone()));
            account.entry = entry.clone();
            account.listed = true;
        }
        self.prune(now);
    }

    /// Takes note that the platform says that an engine is gone for good. What it held no longer
    /// counts; open orders still do until they can't arrive any more.
    pub fn confirm_gone(&mut self, now: MonotonicTime, upstream: &UpstreamName) {
        if let Some(account) = self.accounts.get_mut(upstream) {
            account.gone = true;
            account.asked = account.asked.max(now);
        }
    }

    /// Begins or continues a tenure. In a new one every engine must be read again after the
    /// orders of earlier holders have arrived or are lost.
    pub fn begin(&mut self, authority: &LeaseAuthority) {
        if self.began != Some(authority.began) {
            self.accounts.values_mut().for_each(EngineAccount::restart);
        }
        self.began = Some(authority.began);
        self.number = authority.number;
    }

    /// Takes an engine's state that was asked for at `asked`; an older one than the last is passed
    /// over. Returns the number that the lease must exceed before this engine can be ordered, for
    /// [`HolderInput::Learned`](crate::HolderInput::Learned).
    pub fn observe(
        &mut self,
        asked: MonotonicTime,
        upstream: &UpstreamName,
        state: &EngineState,
    ) -> Option<FencingNumber> {
        let quiet_from = self.began.map(|began| began + self.settings.order_life);
        let account = self.accounts.get_mut(upstream)?;
        // Of two that were asked for at one time, the later one to arrive may be the older one.
        if account.state.is_some() && asked <= account.asked {
            return None;
        }
        let restarted = account.read(asked, state, quiet_from);
        let orders = self.orders.iter_mut().filter(|order| &order.upstream == upstream);
        orders.for_each(|order| order.settle(asked, state, restarted));
        self.orders.retain(|order| !order.settled || asked < order.expires);
        match account.check_number(self.number) {
            Err(OrderRefusal::Behind(seen)) if self.began.is_some() => Some(seen),
            _ => None,
        }
    }

    /// Makes the order for `action`, or says why it may not be given. The order must be sent at
    /// once, while the authority is valid, and can't arrive later than its longest life.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        authority: &LeaseAuthority,
        upstream: &UpstreamName,
        action: OrderAction,
        limits: OrderLimits,
    ) -> Result<EngineOrder, OrderRefusal> {
        self.enter(now, authority)?;
        let account = self.check_engine(authority, upstream)?;
        let state = account.readable()?;
        account.check_settled(authority, self.settings.order_life)?;
        self.check_open(upstream, &action)?;
        check_presence(state, &action)?;
        self.check_memory(upstream, &action)?;
        self.check_replicas(&action, limits)?;
        self.record(now, authority, upstream, action, false)
    }

    /// Makes an order that changes nothing but the engine's highest fencing number, so that it
    /// refuses earlier holders. Once it is done, the next reading settles the engine.
    pub fn fence(
        &mut self,
        now: MonotonicTime,
        authority: &LeaseAuthority,
        upstream: &UpstreamName,
    ) -> Result<EngineOrder, OrderRefusal> {
        self.enter(now, authority)?;
        let account = self.check_engine(authority, upstream)?;
        let role = account.readable()?.role;
        if !account.can_be_fenced() {
            return Err(OrderRefusal::NotFenced);
        }
        let action = OrderAction::SetRole { role };
        self.check_open(upstream, &action)?;
        self.record(now, authority, upstream, action, true)
    }

    /// Takes note of what became of an order; false if it isn't open. Memory is counted as before
    /// until a reading settles the order, unless the engine refused it.
    pub fn resolve(
        &mut self,
        now: MonotonicTime,
        order_id: &RequestId,
        result: OrderResult,
    ) -> bool {
        let open = |order: &OrderRecord| {
            &order.order_id == order_id && order.phase == OrderPhase::Open && !order.settled
        };
        let Some(place) = self.orders.iter().position(open) else { return false };
        match result {
            OrderResult::Done => {
                self.orders[place].phase = OrderPhase::Done(now);
                self.note_fence(now, place);
            }
            OrderResult::Refused => drop(self.orders.remove(place)),
            OrderResult::Unknown => {}
        }
        true
    }

    /// Replicas of `model` that are in this data centre or may be: shown by a reading, in an order
    /// that isn't settled, or one for each engine that isn't settled.
    pub fn replicas(&self, model: &ModelName) -> usize {
        let held: usize = self.accounts.values().map(|account| account.count(model)).sum();
        let loads = |order: &&OrderRecord| matches!(&order.action, OrderAction::LoadModel { model: loaded, .. } if loaded == model);
        held + self.open_orders().filter(loads).count()
    }

    /// Memory of an engine that is free for certain, in mebibytes; zero if it wasn't read.
    pub fn free_mib(&self, upstream: &UpstreamName) -> u64 {
        let Some(account) = self.accounts.get(upstream) else { return 0 };
        let Some(state) = &account.state else { return 0 };
        let orders = self.open_orders().filter(|order| &order.upstream == upstream);
        let reserved: u64 = orders.map(|order| order.action.required_mib()).sum();
        account.capacity_mib(state).saturating_sub(state.used_mib()).saturating_sub(reserved)
    }

    /// One engine's account.
    pub fn account(&self, upstream: &UpstreamName) -> Option<&EngineAccount> {
        self.accounts.get(upstream)
    }

    /// All accounts, by the engines' names.
    pub fn accounts(&self) -> impl Iterator<Item = &EngineAccount> {
        self.accounts.values()
    }

    /// The orders that aren't settled, oldest first.
    pub fn open_orders(&self) -> impl Iterator<Item = &OrderRecord> {
        self.orders.iter().filter(|order| !order.settled)
    }

    fn enter(
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
    ) -> Result<&EngineAccount, OrderRefusal> {
        let account = self.accounts.get(upstream).ok_or(OrderRefusal::UnknownEngine)?;
        account.readable()?;
        account.check_number(authority.number)?;
        Ok(account)
    }

    fn check_open(
        &self,
        upstream: &UpstreamName,
        action: &OrderAction,
    ) -> Result<(), OrderRefusal> {
        let mut orders = self.open_orders().filter(|order| &order.upstream == upstream);
        match orders.any(|order| order.conflicts(action)) {
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

    fn record(
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
        let account = self.accounts.get_mut(upstream).ok_or(OrderRefusal::UnknownEngine)?;
        let incarnation = account.readable()?.incarnation;
        account.ordered = Some(authority.number);
        self.given += 1;
        let order_id = RequestId::new(format!("{}-{}", self.settings.id_prefix, self.given));
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

    /// A fence counts only in the tenure in which it was ordered.
    fn note_fence(&mut self, now: MonotonicTime, place: usize) {
        let order = &self.orders[place];
        let account = self.accounts.get_mut(&order.upstream);
        match account {
            Some(account) if order.fence && Some(order.began) == self.began => {
                account.fenced = Some(now);
            }
            _ => {}
        }
    }

    /// Drops engines that the text no longer lists and that no order can reach any more.
    fn prune(&mut self, now: MonotonicTime) {
        let accounts = &self.accounts;
        let listed = |name: &UpstreamName| accounts.get(name).is_some_and(|found| found.listed);
        self.orders
            .retain(|order| now < order.expires || (!order.settled && listed(&order.upstream)));
        let orders = &self.orders;
        self.accounts.retain(|name, account| {
            account.listed || orders.iter().any(|order| &order.upstream == name)
        });
    }
}
