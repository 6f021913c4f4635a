//! Allocates the shared pool of the weight store to data centres.

use std::collections::BTreeMap;

use wheel_types::{CentreName, MonotonicTime};

use crate::{AllocationRequest, StoreAllocation, StoreSettings, StoreShare};

/// Allocates the pool to data centres for a limited time; run by the leader of the replicated log.
///
/// Allocations are kept in memory. An allocator that starts, including after a change of leader,
/// allocates nothing until all earlier allocations have ended. An allocation that was replaced by a
/// smaller one still counts until it ends, because the data centre may still use it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreAllocator {
    settings: StoreSettings,
    ready_at: MonotonicTime,
    allocations: BTreeMap<CentreName, Vec<OpenAllocation>>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct OpenAllocation {
    share: StoreShare,
    ends: MonotonicTime,
}

impl StoreAllocator {
    /// Starts an allocator without any earlier state.
    pub fn open(settings: StoreSettings, now: MonotonicTime) -> Self {
        let ready_at = now + settings.allocation_term;
        Self { settings, ready_at, allocations: BTreeMap::new() }
    }

    /// Answers a request with what is left in the pool, which may be nothing.
    pub fn allocate(&mut self, now: MonotonicTime, request: &AllocationRequest) -> StoreAllocation {
        let term = self.settings.allocation_term;
        let mut allocation =
            StoreAllocation { round: request.round, share: StoreShare::default(), term };
        if now < self.ready_at || !self.settings.centres.contains(&request.centre) {
            return allocation;
        }
        self.allocations
            .values_mut()
            .for_each(|allocations| allocations.retain(|allocation| now < allocation.ends));
        let others = self.allocations.iter().filter(|(centre, _)| **centre != request.centre);
        let others = others
            .map(|(_, allocations)| largest_share(allocations))
            .fold(StoreShare::default(), StoreShare::plus);
        allocation.share = request.wanted.min(self.settings.pool().minus(others));
        self.record(request, OpenAllocation { share: allocation.share, ends: now + term });
        allocation
    }

    fn record(&mut self, request: &AllocationRequest, allocation: OpenAllocation) {
        let allocations = self.allocations.entry(request.centre.clone()).or_default();
        if allocations.len() >= MAX_ALLOCATIONS {
            let share = largest_share(allocations);
            *allocations =
                vec![OpenAllocation { share: share.max(allocation.share), ends: allocation.ends }];
        }
        allocations.push(allocation);
    }
}

/// Allocations of one data centre that are tracked separately; beyond that they are merged into
/// one.
const MAX_ALLOCATIONS: usize = 8;

fn largest_share(allocations: &[OpenAllocation]) -> StoreShare {
    allocations
        .iter()
        .map(|allocation| allocation.share)
        .fold(StoreShare::default(), StoreShare::max)
}
