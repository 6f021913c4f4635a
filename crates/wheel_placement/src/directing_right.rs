//! The right to order engines, which goes with a confirmed leadership of the replicated log.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use wheel_control::ControlNode;
use wheel_types::MonotonicTime;
use wheel_upstream::OrderPermit;

use crate::boot_now;

/// Time between two confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a confirmation may take.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// The term of a group's first election: its leader has no predecessor to wait for, and no other leader ever
/// has this term.
pub(crate) const FIRST_TERM: u64 = 1;

/// How long the right lasts and what a new holder waits for.
#[derive(Clone, Copy, Debug)]
pub struct RightTimes {
    /// How long a confirmation by a majority carries.
    pub span: Duration,
    /// Time between the last order of one holder and the first of the next.
    pub pause: Duration,
}

/// The right of this instance to order engines.
///
/// A leader asks a majority again and again to confirm it. Each confirmation carries for a fixed span
/// from the moment at which it was asked for, measured on a clock that goes on while the machine is
/// suspended. A new leader was voted for by a majority after the old one's last confirmation, so that it
/// has the right alone once the span and the pause have passed since it became leader. The term, which a
/// durable vote raises, is the fencing number.
#[derive(Debug)]
pub struct DirectingRight {
    times: RightTimes,
    state: Mutex<RightState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RightState {
    term: u64,
    /// When this term was first confirmed here.
    began: MonotonicTime,
    /// When the last confirmation was asked for.
    confirmed: Option<MonotonicTime>,
}

impl DirectingRight {
    /// Starts to have the right confirmed whenever this instance leads.
    pub fn spawn(times: RightTimes, control: ControlNode) -> Arc<Self> {
        let right = Arc::new(Self { times, state: Mutex::default() });
        tokio::spawn(Arc::clone(&right).confirm_loop(control));
        right
    }

    /// How long a confirmation carries.
    pub(crate) fn span(&self) -> Duration {
        self.times.span
    }

    /// The term, while this instance leads for sure; it may not be allowed to order yet.
    pub fn leading_term(&self) -> Option<u64> {
        let state = self.state.lock();
        let confirmed = state.confirmed?;
        (boot_now().since(confirmed) < self.times.span).then_some(state.term)
    }

    /// The fencing number, while this instance may order.
    pub fn fencing(&self) -> Option<u64> {
        let term = self.leading_term()?;
        let began = self.state.lock().began;
        let waited = boot_now().since(began) >= self.times.span + self.times.pause;
        (waited || term == FIRST_TERM).then_some(term)
    }

    /// How long until orders are allowed, as far as this instance goes on leading.
    pub(crate) fn remaining(&self) -> Duration {
        let waited = boot_now().since(self.state.lock().began);
        (self.times.span + self.times.pause).saturating_sub(waited)
    }

    /// Takes a confirmation of `term` over that was asked for at `asked`.
    fn confirm(&self, term: u64, asked: MonotonicTime) {
        let mut state = self.state.lock();
        if state.term != term || state.confirmed.is_none() {
            info!("directing_term", kv: { term, before = state.term });
            *state = RightState { term, began: boot_now(), confirmed: None };
        }
        state.confirmed = Some(asked);
    }

    /// Gives the right up.
    pub fn release(&self) {
        self.state.lock().confirmed = None;
    }

    async fn confirm_loop(self: Arc<Self>, control: ControlNode) {
        loop {
            let asked = boot_now();
            match tokio::time::timeout(CONFIRM_TIMEOUT, control.read()).await {
                Ok(Some(answer)) => self.confirm(answer.term, asked),
                Ok(None) => self.state.lock().confirmed = None,
                Err(_) => {}
            }
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }
}

/// The permit of orders under one fencing number.
#[derive(Debug)]
pub(crate) struct TermPermit {
    pub(crate) right: Arc<DirectingRight>,
    pub(crate) fencing: u64,
}

impl OrderPermit for TermPermit {
    fn valid(&self) -> bool {
        self.right.fencing() == Some(self.fencing)
    }
}
