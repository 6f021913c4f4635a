//! Estimated load of one upstream between two reports.

use std::collections::VecDeque;

use wheel_types::{LoadReport, MonotonicTime, RequestRank};

/// Maximum number of send times kept until a report covers them; older ones are only counted.
const MAX_SENDS: usize = 512;

/// The last report, and the requests sent since it was measured.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamLoad {
    report: LoadReport,
    measured_at: MonotonicTime,
    sends: VecDeque<MonotonicTime>,
    finished_since: u32,
    by_rank: [u32; RequestRank::MAX_RANKS],
}

impl UpstreamLoad {
    /// Replaces the report by one received at `now`, unless that is older, and drops the send times
    /// that it covers.
    pub(crate) fn observe(&mut self, now: MonotonicTime, report: LoadReport) {
        let age_us = report.age_ms.saturating_mul(1_000);
        let measured_at = MonotonicTime::from_micros(now.as_micros().saturating_sub(age_us));
        if measured_at < self.measured_at {
            return;
        }
        self.measured_at = measured_at;
        self.report = report;
        self.finished_since = 0;
        while self.sends.front().is_some_and(|sent| *sent <= measured_at) {
            self.sends.pop_front();
        }
    }

    /// Counts a request that was sent at `now`.
    pub(crate) fn record_sent(&mut self, now: MonotonicTime) {
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
            self.report.waiting = self.report.waiting.saturating_add(1);
        }
        self.sends.push_back(now);
    }

    /// Counts a request that ended.
    pub(crate) fn record_finished(&mut self) {
        self.finished_since += 1;
    }

    /// Adds `change` to the requests of `rank` that are in progress from here.
    pub(crate) fn count_rank(&mut self, rank: RequestRank, change: i32) {
        if let Some(count) = self.by_rank.get_mut(rank.index()) {
            *count = count.saturating_add_signed(change);
        }
    }

    /// Requests that run or go before one of `rank`. Of the less urgent requests from here, only as
    /// many count as may be running, which is half of `slots`.
    pub(crate) fn depth_for(&self, rank: RequestRank, slots: u32) -> u32 {
        let below: u32 = self.by_rank.iter().skip(rank.index() + 1).sum();
        self.depth().saturating_sub(below.saturating_sub(slots / 2))
    }

    /// Requests that run or wait there, as far as known.
    pub(crate) fn depth(&self) -> u32 {
        let known = self.report.running + self.report.waiting + self.sends.len() as u32;
        known.saturating_sub(self.finished_since)
    }
}
