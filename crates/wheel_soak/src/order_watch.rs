//! Whether orders come from one holder at a time, within memory and the store's rate.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::fault_history::FaultHistory;
use crate::{PromiseBounds, PromiseViolation, SeenOrder, SoakPromise};

/// Answers to orders that are carried out or hold already.
const TAKEN: [u16; 2] = [200, 202];
/// The answer to an order with an old fencing number.
const FENCED: u16 = 412;

#[derive(Debug)]
struct LastOrder {
    at: Duration,
    holder: Arc<str>,
    fencing: u64,
}

/// Orders that upstreams got.
#[derive(Debug, Default)]
pub(crate) struct OrderWatch {
    last: BTreeMap<Arc<str>, LastOrder>,
    loads: VecDeque<Duration>,
}

impl OrderWatch {
    pub(crate) fn order(
        &mut self,
        at: Duration,
        order: &SeenOrder,
        (bounds, faults): (&PromiseBounds, &FaultHistory),
    ) -> Vec<PromiseViolation> {
        let ids = [&order.upstream, &order.holder];
        let violation =
            |promise, line: String| Some(PromiseViolation::new(promise, at, &ids, line));
        let is_over = TAKEN.contains(&order.status) && order.held_mb > order.room_mb;
        let memory = is_over.then(|| {
            let SeenOrder { upstream, held_mb, room_mb, .. } = order;
            violation(
                SoakPromise::MemoryHeld,
                format!("{upstream} has {room_mb} MB and was made to hold {held_mb} MB"),
            )
        });
        let store = self.count_load(at, order, bounds).map(|(loads, allowed)| {
            let line = format!("{loads} loads from the store in a window that allows {allowed}");
            violation(SoakPromise::StoreRate, line)
        });
        let from = at.saturating_sub(bounds.thaw_time);
        let is_late = faults.harms(&order.holder, from, at)
            || faults.harms(&order.upstream, from, at)
            || order.status == FENCED;
        let holder = match is_late {
            true => None,
            false => self
                .judge_holder(at, order, bounds)
                .map(|line| violation(SoakPromise::OneHolder, line)),
        };
        [memory, store, holder].into_iter().flatten().flatten().collect()
    }

    /// Loads in the window and how many it allows, if there are too many.
    fn count_load(
        &mut self,
        at: Duration,
        order: &SeenOrder,
        bounds: &PromiseBounds,
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

    fn judge_holder(
        &mut self,
        at: Duration,
        order: &SeenOrder,
        bounds: &PromiseBounds,
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
                // The higher number stays, so that the next order is judged by it.
                let line = format!("{holder} orders with {fencing} after {}", last.fencing);
                self.last.insert(group, last);
                line
            }
            () if is_other && *fencing == last.fencing => {
                format!("{holder} and {} order with one number, {fencing}", last.holder)
            }
            () if is_other && pause < bounds.lease_pause => {
                format!("{holder} orders {pause:.2?} after {}", last.holder)
            }
            () => return None,
        };
        Some(line)
    }
}
