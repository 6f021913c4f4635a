//! When a draining instance must have answered.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The time by which a draining instance has answered what it took in. Clones share it.
///
/// Whatever waits on the way of a request bounds its wait by [`DrainDeadline::bound`] and looks again once
/// [`DrainDeadline::watch`] changes: a request that waits longer would end with the process.
///
/// ```
/// use std::time::Duration;
///
/// use tokio::time::Instant;
/// use wheel_entry::DrainDeadline;
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
}

impl Default for DrainDeadline {
    fn default() -> Self {
        Self { end: Arc::new(watch::Sender::new(None)) }
    }
}

impl DrainDeadline {
    /// Begins the drain. A later call may bring its end forward, and never puts it off.
    pub fn begin(&self, end: Instant) {
        self.end.send_if_modified(|held| {
            let is_earlier = held.is_none_or(|held| end < held);
            if is_earlier {
                *held = Some(end);
            }
            is_earlier
        });
    }

    /// The end, once the drain has begun.
    pub fn end(&self) -> Option<Instant> {
        *self.end.borrow()
    }

    /// The earlier one of `deadline` and the end.
    pub fn bound(&self, deadline: Instant) -> Instant {
        self.end().map_or(deadline, |end| deadline.min(end))
    }

    /// Follows the end; the receiver counts the current one as seen.
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
