//! Connection counters of one client.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of one client's connections since it was opened, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClientStatus {
    /// Calls open now.
    pub open_calls: u64,
    /// Idle connections now.
    pub idle: u64,
    /// Connections opened.
    pub opened: u64,
    /// Connections that couldn't be opened.
    pub connect_failures: u64,
    /// Probes of idle connections.
    pub probes: u64,
    /// Probes without an answer in time.
    pub probe_failures: u64,
    /// Calls that failed because nothing arrived within a timeout.
    pub silent_calls: u64,
    /// Connections retired because one was silent and a newer one answered.
    pub retired: u64,
    /// Answers that carried the id of another call.
    pub foreign_answers: u64,
    /// Events that were received twice and dropped.
    pub duplicate_events: u64,
    /// Cancels sent for abandoned streams.
    pub cancels: u64,
    /// Cancels skipped because too many were in flight; only the connection was closed.
    pub cancels_skipped: u64,
}

/// The counters behind [`ClientStatus`].
#[derive(Debug, Default)]
pub(crate) struct StatusCounters {
    pub(crate) opened: StatusCounter,
    pub(crate) connect_failures: StatusCounter,
    pub(crate) probes: StatusCounter,
    pub(crate) probe_failures: StatusCounter,
    pub(crate) silent_calls: StatusCounter,
    pub(crate) retired: StatusCounter,
    pub(crate) foreign_answers: StatusCounter,
    pub(crate) duplicate_events: StatusCounter,
    pub(crate) cancels: StatusCounter,
    pub(crate) cancels_skipped: StatusCounter,
}

impl StatusCounters {
    /// A copy of all counters.
    pub(crate) fn snapshot(&self, open_calls: usize, idle: usize) -> ClientStatus {
        ClientStatus {
            open_calls: open_calls as u64,
            idle: idle as u64,
            opened: self.opened.get(),
            connect_failures: self.connect_failures.get(),
            probes: self.probes.get(),
            probe_failures: self.probe_failures.get(),
            silent_calls: self.silent_calls.get(),
            retired: self.retired.get(),
            foreign_answers: self.foreign_answers.get(),
            duplicate_events: self.duplicate_events.get(),
            cancels: self.cancels.get(),
            cancels_skipped: self.cancels_skipped.get(),
        }
    }
}

/// One counter.
#[derive(Debug, Default)]
pub(crate) struct StatusCounter(AtomicU64);

impl StatusCounter {
    /// Adds one.
    pub(crate) fn add_one(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
