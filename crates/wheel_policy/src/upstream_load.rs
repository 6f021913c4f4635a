//! What is known of one upstream's load between two reports.

use std::collections::VecDeque;

use wheel_types::{LoadReport, MonotonicTime, RequestRank};

/// Sends that are remembered until a report covers them; older ones count on as one number.
const MAX_SENDS: usize = 512;

/// The last report, and what was sent since it was true.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamLoad {
    report: LoadReport,
    true_at: MonotonicTime,
    sends: VecDeque<MonotonicTime>,
    finished_since: u32,
    by_rank: [u32; RequestRank::MAX_RANKS],
}

impl UpstreamLoad {
    /// Takes over a report that came at `now`; forgets the sends that it covers.
    pub(crate) fn observe(&mut self, now: MonotonicTime, report: LoadReport) {
        let age_us = report.age_ms.saturating_mul(1_000);
        let true_at = MonotonicTime::from_micros(now.as_micros().saturating_sub(age_us));
        if true_at < self.true_at {
            return;
        }
        self.true_at = true_at;
        self.report = report;
        self.finished_since = 0;
        while self.sends.front().is_some_and(|sent| *sent <= true_at) {
            self.sends.pop_front();
        }
    }

    /// Counts a request that was sent at `now`.
    pub(crate) fn sent(&mut self, now: MonotonicTime) {
        if self.sends.len() == MAX_SENDS {
            self.sends.pop_front();
            self.report.waiting = self.report.waiting.saturating_add(1);
        }
        self.sends.push_back(now);
    }

    /// Counts a request that ended.
    pub(crate) fn finished(&mut self) {
        self.finished_since += 1;
    }

    /// Counts a request of `rank` among those that are under way from here.
    pub(crate) fn count_rank(&mut self, rank: RequestRank, change: i32) {
        if let Some(count) = self.by_rank.get_mut(rank.index()) {
            *count = count.saturating_add_signed(change);
        }
    }

    /// Requests that go before one of `rank` or run there already. Less urgent ones from here only
    /// count as far as they may run.
    pub(crate) fn depth_for(&self, rank: RequestRank, slots: u32) -> u32 {
        let below: u32 = self.by_rank.iter().skip(rank.index() + 1).sum();
        self.depth().saturating_sub(below.saturating_sub(slots / 2))
    }

    /// Requests that run or wait there, as far as is known.
    pub(crate) fn depth(&self) -> u32 {
        let known = self.report.running + self.report.waiting + self.sends.len() as u32;
        known.saturating_sub(self.finished_since)
    }
}
