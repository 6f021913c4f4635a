//! Checks that orders come from one lease holder at a time and stay within the engines' memory and
//! the store's rate.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_history::FaultHistory;
use crate::{GuaranteeBounds, GuaranteeViolation, SeenOrder, SystemGuarantee};

/// Statuses of orders that are accepted, or whose result already holds.
const ACCEPTED: [u16; 2] = [200, 202];
/// Status of an order that is refused for an old fencing number.
const FENCED: u16 = 412;

#[derive(Debug)]
struct LastOrder {
    at: Duration,
    holder: Arc<str>,
    fencing: u64,
}

/// The orders that upstreams have received.
#[derive(Debug, Default)]
pub(crate) struct OrderTracker {
    last: BTreeMap<Arc<str>, LastOrder>,
    loads: VecDeque<Duration>,
}

impl OrderTracker {
    pub(crate) fn record_order(
        &mut self,
        at: Duration,
        order: &SeenOrder,
        (bounds, faults): (&GuaranteeBounds, &FaultHistory),
    ) -> Vec<GuaranteeViolation> {
        let ids = [&order.upstream, &order.holder];
        let violation =
            |guarantee, line: String| Some(GuaranteeViolation::new(guarantee, at, &ids, line));
        let is_overcommitted = ACCEPTED.contains(&order.status) && order.held_mb > order.room_mb;
        let memory = is_overcommitted.then(|| {
            let SeenOrder { upstream, held_mb, room_mb, .. } = order;
            violation(
                SystemGuarantee::MemoryHeld,
                format!("{upstream} has {room_mb} MB and was ordered to hold {held_mb} MB"),
            )
        });
        let store = self.count_load(at, order, bounds).map(|(loads, allowed)| {
            let line = format!("{loads} loads from the store in a window that allows {allowed}");
            violation(SystemGuarantee::StoreRate, line)
        });
        let from = at.saturating_sub(bounds.resume_time);
        let is_late = faults.affects(&order.holder, from, at)
            || faults.affects_link(&order.upstream, from, at)
            || order.status == FENCED;
        let holder = match is_late {
            true => None,
            false => self
                .check_holder(at, order, bounds)
                .map(|line| violation(SystemGuarantee::OneHolder, line)),
        };
        [memory, store, holder].into_iter().flatten().flatten().collect()
    }

    /// Counts a load; returns the loads in the window and the allowed number if that is exceeded.
    fn count_load(
        &mut self,
        at: Duration,
        order: &SeenOrder,
        bounds: &GuaranteeBounds,
    ) -> Option<(usize, usize)> {
        if !order.is_store_load {
            return None;
        }
        self.loads.push_back(at);
        while self.loads.front().is_some_and(|first| *first + bounds.load_window <= at) {
            self.loads.pop_front();
        }
        let rate = bounds.loads_per_s * bounds.load_window.as_secs_f64();
        let allowed = rate as usize + bounds.extra_loads;
        (self.loads.len() > allowed).then_some((self.loads.len(), allowed))
    }

    fn check_holder(
        &mut self,
        at: Duration,
        order: &SeenOrder,
        bounds: &GuaranteeBounds,
    ) -> Option<String> {
        let SeenOrder { upstream, holder, fencing, .. } = order;
        let group = bounds.order_groups.get(upstream).cloned().unwrap_or_default();
        let next = LastOrder { at, holder: Arc::clone(holder), fencing: *fencing };
        let last = match self.last.get_mut(&group) {
            Some(last) => std::mem::replace(last, next),
            None => return self.last.insert(group, next).map(|_| String::new()),
        };
        let pause = at.saturating_sub(last.at);
        let is_other = last.holder != *holder;
        let line = match () {
            () if *fencing < last.fencing => {
                // Keeps the higher number, so that the next order is checked against it.
                let line = format!("{holder} orders with {fencing} after {}", last.fencing);
                self.last.insert(group, last);
                line
            }
            () if is_other && *fencing == last.fencing => {
                format!("{holder} and {} order with the same number, {fencing}", last.holder)
            }
            () if is_other && pause < bounds.lease_pause => {
                format!("{holder} orders {pause:.2?} after {}", last.holder)
            }
            () => return None,
        };
        Some(line)
    }
}
