//! What a connection is busy with.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::answer_guard::AnswerGuard;

/// What a connection reads, serves and writes. The HTTP library reads whenever nothing that was read is
/// left in its buffer, and only then. So once a read finds nothing, no further request waits here.
#[derive(Debug, Default)]
pub(crate) struct ConnectionActivity {
    state: Mutex<ActivityState>,
    changes: Notify,
}

#[derive(Clone, Copy, Debug)]
struct ActivityState {
    /// Whether a request has no answer, or one whose body hasn't ended.
    is_serving: bool,
    /// Whether the last read found nothing.
    is_read_out: bool,
    /// Whether a write waits for the caller.
    is_write_blocked: bool,
    /// When a request or an answer last began or ended, or a write waited.
    changed_at: Instant,
    /// When a read last found something.
    arrived_at: Instant,
    /// Whether a request was served that came after the drain began.
    has_served_late: bool,
    /// When the first request was refused that came too late.
    refused_at: Option<Instant>,
}

impl Default for ActivityState {
    fn default() -> Self {
        let now = Instant::now();
        Self {
            is_serving: false,
            is_read_out: false,
            is_write_blocked: false,
            changed_at: now,
            arrived_at: now,
            has_served_late: false,
            refused_at: None,
        }
    }
}

impl ActivityState {
    fn is_idle(&self) -> bool {
        !self.is_serving && self.is_read_out && !self.is_write_blocked
    }
}

impl ConnectionActivity {
    /// Begins a request, which is served until the guard is dropped with the body of its answer.
    pub(crate) fn begin_request(self: &Arc<Self>) -> AnswerGuard {
        self.change(|state| state.is_serving = true);
        AnswerGuard::new(Arc::clone(self))
    }

    /// Records the end of an answer.
    pub(crate) fn end_answer(&self) {
        self.change(|state| state.is_serving = false);
    }

    /// Records whether a read found anything. A part of a head is no request, so that it doesn't delay
    /// [`Self::idle_for`].
    pub(crate) fn record_read(&self, has_bytes: bool) {
        let mut state = self.state.lock();
        let was_read_out = state.is_read_out;
        state.is_read_out = !has_bytes;
        if has_bytes {
            state.arrived_at = Instant::now();
        }
        drop(state);
        // Most reads find nothing, as those before them.
        if was_read_out == has_bytes {
            self.changes.notify_one();
        }
    }

    /// When the request that begins has arrived: the library reads on only when it has no other one.
    pub(crate) fn arrived_at(&self) -> Instant {
        self.state.lock().arrived_at
    }

    /// Whether a request that came after the drain began is the first one, which is served.
    pub(crate) fn begin_late(&self) -> bool {
        !std::mem::replace(&mut self.state.lock().has_served_late, true)
    }

    /// Records that a request is refused which came too late.
    pub(crate) fn record_refusal(&self) {
        self.state.lock().refused_at.get_or_insert_with(Instant::now);
    }

    /// Whether the answer to the request that is served must be the last one of a connection that is to
    /// close: nothing waits behind it, or requests that came too late have been refused for `pause`.
    pub(crate) fn ends_with_answer(&self, pause: Duration) -> bool {
        let state = self.state.lock();
        state.is_read_out || state.refused_at.is_some_and(|begin| begin.elapsed() >= pause)
    }

    /// Records whether a write waits for the caller.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        if self.state.lock().is_write_blocked != is_blocked {
            self.change(|state| state.is_write_blocked = is_blocked);
        }
    }

    /// Completes once nothing was served or written for `pause` from now on, and nothing waits to be.
    pub(crate) async fn idle_for(&self, pause: Duration) {
        let begin = Instant::now();
        loop {
            let state = *self.state.lock();
            let due = state.changed_at.max(begin) + pause;
            match state.is_idle() {
                true if Instant::now() >= due => return,
                true => sleep_until(due).await,
                false => self.changes.notified().await,
            }
        }
    }

    fn change(&self, apply: impl FnOnce(&mut ActivityState)) {
        let mut state = self.state.lock();
        apply(&mut state);
        state.changed_at = Instant::now();
        drop(state);
        self.changes.notify_one();
    }
}
