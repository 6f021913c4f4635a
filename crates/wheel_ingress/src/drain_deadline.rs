//! The deadline of a drain.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The time by which a draining instance must have answered all accepted requests. Clones share it.
///
/// Everything that waits while handling a request limits its wait by [`DrainDeadline::bound`] and
/// checks again when [`DrainDeadline::watch`] changes; a request that waits longer would end with
/// the process.
///
/// ```
/// use std::time::Duration;
///
/// use tokio::time::Instant;
/// use wheel_ingress::DrainDeadline;
///
/// let drain = DrainDeadline::default();
/// let (soon, late) = (Instant::now(), Instant::now() + Duration::from_secs(9));
/// assert_eq!(drain.bound(late), late);
/// drain.begin(soon);
/// assert_eq!(drain.bound(late), soon);
/// ```
#[derive(Clone, Debug)]
pub struct DrainDeadline {
    end: Arc<watch::Sender<Option<Instant>>>,
    last_arrival: Arc<watch::Sender<Option<Instant>>>,
}

impl Default for DrainDeadline {
    fn default() -> Self {
        Self {
            end: Arc::new(watch::Sender::new(None)),
            last_arrival: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl DrainDeadline {
    /// Starts the drain. A later call may make it end earlier but never later.
    pub fn begin(&self, end: Instant) {
        self.end.send_if_modified(|current| {
            let is_earlier = current.is_none_or(|current| end < current);
            if is_earlier {
                *current = Some(end);
            }
            is_earlier
        });
    }

    /// Has requests refused that arrive after `last_arrival`, since too little time is left for their
    /// answers.
    pub fn refuse_after(&self, last_arrival: Instant) {
        self.last_arrival.send_replace(Some(last_arrival));
    }

    /// Whether a request that arrives now comes too late to be accepted.
    pub fn is_too_late(&self) -> bool {
        self.refuses(Instant::now())
    }

    /// Whether a request that arrived at `arrival` came too late to be accepted.
    pub fn refuses(&self, arrival: Instant) -> bool {
        self.last_arrival.borrow().is_some_and(|last_arrival| arrival > last_arrival)
    }

    /// The end, once the drain has started.
    pub fn end(&self) -> Option<Instant> {
        *self.end.borrow()
    }

    /// Whether the drain has ended.
    pub fn has_passed(&self) -> bool {
        self.end().is_some_and(|end| Instant::now() >= end)
    }

    /// The earlier of `deadline` and the end.
    pub fn bound(&self, deadline: Instant) -> Instant {
        self.end().map_or(deadline, |end| deadline.min(end))
    }

    /// Subscribes to changes of the end; the current value is marked as seen.
    pub fn watch(&self) -> watch::Receiver<Option<Instant>> {
        self.end.subscribe()
    }

    /// Completes at the end of the drain.
    pub async fn passed(&self) {
        let mut end = self.watch();
        loop {
            let current = *end.borrow_and_update();
            tokio::select! {
                // The sender lives as long as `self`.
                _ = end.changed() => {}
                () = sleep_until(current.unwrap_or_else(Instant::now)), if current.is_some() => return,
            }
        }
    }
}
