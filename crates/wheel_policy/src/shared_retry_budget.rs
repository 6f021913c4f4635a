//! Limits the retries of all instances of a deployment together.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use wheel_types::{MonotonicTime, UpstreamName};

/// Slots that a window is divided into.
const WINDOW_SLOTS: u32 = 20;
/// How long the largest number of instances counts after it was last reported. An instance that is
/// cut off, or a control instance that has just started, reports too low a number.
const PEAK_LIFETIME: Duration = Duration::from_secs(600);

/// Settings of a [`SharedRetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct SharedBudgetSettings {
    /// Retries allowed for each request in a window.
    pub share: f64,
    /// Retries allowed beyond these in a window, for all instances together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and retries within one slot.
#[derive(Clone, Copy, Debug, Default)]
struct SlotCounts {
    slot: u64,
    requests: u32,
    retries: u32,
}

/// One instance's part of a deployment's retries, for each service.
///
/// In any window, an instance sends at most `share` of its own requests in that window, and its
/// equal part of `extra`. So the sum over all instances keeps the deployment's limit without
/// messages, however the requests are spread. An instance has no part of `extra` in the first window
/// after its start: the process before it may have used it.
///
/// Holds a few numbers for each slot and service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    settings: SharedBudgetSettings,
    start: MonotonicTime,
    /// The largest number of instances, and when it was last reported.
    instances: Option<(u32, MonotonicTime)>,
    services: BTreeMap<UpstreamName, VecDeque<SlotCounts>>,
}

impl SharedRetryBudget {
    /// Creates the budget of an instance that starts at `start`.
    pub fn open(settings: SharedBudgetSettings, start: MonotonicTime) -> Self {
        Self { settings, start, instances: None, services: BTreeMap::new() }
    }

    /// Records the number of instances that share the retries; 0 if it is unknown.
    pub fn set_instances(&mut self, now: MonotonicTime, count: u32) {
        let is_peak = self
            .instances
            .is_none_or(|(peak, reported)| count >= peak || now.since(reported) > PEAK_LIFETIME);
        if count > 0 && is_peak {
            self.instances = Some((count, now));
        }
    }

    /// Counts a request to a service, whatever becomes of it.
    pub fn record_request(&mut self, now: MonotonicTime, service: &UpstreamName) {
        self.counts(now, service).requests += 1;
    }

    /// Spends one retry to a service; false means that it must not be sent.
    pub fn try_retry(&mut self, now: MonotonicTime, service: &UpstreamName) -> bool {
        let is_allowed = self.remaining(now, service) >= 1.0;
        if is_allowed {
            self.counts(now, service).retries += 1;
        }
        is_allowed
    }

    /// Retries to a service that are left; negative if requests have left the window before the
    /// retries that they allowed.
    pub fn remaining(&self, now: MonotonicTime, service: &UpstreamName) -> f64 {
        let current = self.slot_at(now);
        let counts = self.services.get(service).into_iter().flatten();
        // The current slot is incomplete: retries are counted over more than a window, requests
        // over less.
        let age = |counts: &SlotCounts| current.saturating_sub(counts.slot);
        let (requests, retries) = counts.fold((0, 0), |(requests, retries), counts| {
            let requests_in =
                if age(counts) < u64::from(WINDOW_SLOTS) { counts.requests } else { 0 };
            let retries_in =
                if age(counts) <= u64::from(WINDOW_SLOTS) { counts.retries } else { 0 };
            (requests + requests_in, retries + retries_in)
        });
        self.settings.share * f64::from(requests) + self.own_extra(now) - f64::from(retries)
    }

    /// This instance's part of the retries beyond the share.
    fn own_extra(&self, now: MonotonicTime) -> f64 {
        match self.instances {
            Some((count, _)) if now.since(self.start) >= self.settings.window => {
                self.settings.extra / f64::from(count)
            }
            _ => 0.0,
        }
    }

    fn slot_at(&self, now: MonotonicTime) -> u64 {
        let slot = (self.settings.window / WINDOW_SLOTS).max(Duration::from_micros(1));
        now.as_micros() / u64::try_from(slot.as_micros()).unwrap_or(u64::MAX)
    }

    /// The counts of the current slot.
    fn counts(&mut self, now: MonotonicTime, service: &UpstreamName) -> &mut SlotCounts {
        let slot = self.slot_at(now);
        let counts = self.services.entry(service.clone()).or_default();
        counts.retain(|counts| slot.saturating_sub(counts.slot) <= u64::from(WINDOW_SLOTS));
        if counts.back().is_none_or(|last| last.slot < slot) {
            counts.push_back(SlotCounts { slot, ..SlotCounts::default() });
        }
        let last = counts.len() - 1;
        &mut counts[last]
    }
}
