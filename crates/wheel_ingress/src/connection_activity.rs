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
    changed_at: Instant,
}

impl Default for ActivityState {
    fn default() -> Self {
        Self {
            is_serving: false,
            is_read_out: false,
            is_write_blocked: false,
            changed_at: Instant::now(),
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

    /// Records whether a read found anything.
    pub(crate) fn record_read(&self, has_bytes: bool) {
        // Most reads find nothing, as those before them.
        if has_bytes || !self.is_read_out() {
            self.change(|state| state.is_read_out = !has_bytes);
        }
    }

    /// Records whether a write waits for the caller.
    pub(crate) fn record_write(&self, is_blocked: bool) {
        if self.state.lock().is_write_blocked != is_blocked {
            self.change(|state| state.is_write_blocked = is_blocked);
        }
    }

    /// Whether nothing that was read waits behind the request that is served.
    pub(crate) fn is_read_out(&self) -> bool {
        self.state.lock().is_read_out
    }

    /// Completes once nothing was read, served or written for `pause` from now on.
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
