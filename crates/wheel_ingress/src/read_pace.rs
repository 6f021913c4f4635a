//! How long a caller may leave its answer unread.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, Sleep, sleep_until};

/// Time after the deadline of an answer for which its connection may take none of it, unless its
/// service allows another one. A caller that reads at least [`UNSENT_BYTES`] in it keeps its answer.
const READ_PAUSE: Duration = Duration::from_millis(1_500);
/// Bytes that the kernel takes of an answer beyond what it can send at once. Without this limit a
/// connection takes megabytes and then nothing for as long as a slow caller needs for a third of them.
pub(crate) const UNSENT_BYTES: u32 = 32 << 10;

/// Put into the extensions of a response by its service: the end of the request's time. From then on
/// the caller must read the answer without long pauses. An answer without one may stay unread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadDeadline {
    /// The end of the request's time.
    pub at: Instant,
    /// The longest pause from then on.
    pub pause: Duration,
}

impl ReadDeadline {
    /// A deadline with the usual pause.
    pub fn new(at: Instant) -> Self {
        Self { at, pause: READ_PAUSE }
    }

    /// Sets the longest pause.
    pub fn pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }
}

/// The deadline of the answer that a connection carries.
#[derive(Debug, Default)]
pub(crate) struct AnswerDeadline {
    deadline: Mutex<Option<ReadDeadline>>,
}

impl AnswerDeadline {
    /// Replaces the deadline as the next answer begins.
    pub(crate) fn set(&self, deadline: Option<ReadDeadline>) {
        *self.deadline.lock() = deadline;
    }

    fn get(&self) -> Option<ReadDeadline> {
        *self.deadline.lock()
    }
}

/// Ends the writes of a connection whose caller doesn't read.
#[derive(Debug)]
pub(crate) struct ReadPace {
    deadline: Arc<AnswerDeadline>,
    /// Runs while a write waits for the caller.
    timer: Option<Pin<Box<Sleep>>>,
}

impl ReadPace {
    /// Creates it for answers with the deadlines in `deadline`.
    pub(crate) fn new(deadline: Arc<AnswerDeadline>) -> Self {
        Self { deadline, timer: None }
    }

    /// Passes the outcome of a write on.
    ///
    /// # Errors
    /// [`io::ErrorKind::TimedOut`] if the write has waited for too long beyond the answer's deadline.
    pub(crate) fn check(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let deadline = match &outcome {
            Poll::Pending => self.deadline.get(),
            Poll::Ready(_) => None,
        };
        let Some(deadline) = deadline else {
            self.timer = None;
            return outcome;
        };
        let due = || deadline.at.max(Instant::now()) + deadline.pause;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due())));
        timer.as_mut().poll(cx).map(|()| {
            let reason = "the caller doesn't read its answer";
            Err(io::Error::new(io::ErrorKind::TimedOut, reason))
        })
    }
}
