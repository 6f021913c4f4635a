//! Assigns the slots of one upstream.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use metrics::histogram;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use wheel_ingress::{RefusalCode, RequestRefusal};
use wheel_policy::{
    AdmissionResult, EngineQueue, QueueSettings, QueuedRequest, RefusalReason, RefusedRequest,
};
use wheel_types::{MonotonicTime, RequestId};

use crate::{ProcessClock, SlotGuard};

/// The result for a waiting request: a slot or a refusal.
type SlotAnswer = Result<SlotGuard, RequestRefusal>;

/// An [`EngineQueue`] with the tasks that wait in it.
///
/// Its only lock is never held while another is taken.
#[derive(Debug)]
pub struct SlotQueue {
    clock: ProcessClock,
    state: Mutex<QueueState>,
    changed: Notify,
}

#[derive(Debug)]
struct QueueState {
    queue: EngineQueue,
    waiters: HashMap<RequestId, oneshot::Sender<SlotAnswer>>,
}

impl SlotQueue {
    /// Starts an empty queue, with a task that refuses expired requests.
    pub fn spawn(clock: ProcessClock, settings: QueueSettings) -> Arc<Self> {
        let state = QueueState { queue: EngineQueue::open(settings), waiters: HashMap::new() };
        let queue = Arc::new(Self { clock, state: Mutex::new(state), changed: Notify::new() });
        tokio::spawn(expire_loop(Arc::downgrade(&queue)));
        queue
    }

    /// Waits for a slot. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// A refusal, at once if no slot can become free in time. The request didn't run and won't.
    pub async fn acquire(self: &Arc<Self>, request: QueuedRequest) -> SlotAnswer {
        let (id, rank) = (request.id.clone(), request.rank.to_string());
        let started = Instant::now();
        let (sender, receiver) = oneshot::channel();
        self.offer(request, sender)?;
        let waiting = WaitGuard { queue: Arc::clone(self), id };
        self.grant_slots();
        let answer = receiver.await;
        drop(waiting);
        histogram!("wheel_queue_seconds", "rank" => rank).record(started.elapsed().as_secs_f64());
        answer.unwrap_or_else(|_| Err(closed_refusal()))
    }

    /// Refuses all waiting requests, so that the ingress instances can send them elsewhere.
    pub fn refuse_waiting(&self, message: &str) {
        let waiting = {
            let mut state = self.state.lock();
            let ids: Vec<RequestId> =
                state.queue.drain().into_iter().map(|request| request.id).collect();
            ids.iter().filter_map(|id| state.waiters.remove(id)).collect::<Vec<_>>()
        };
        for waiter in waiting {
            let _ = waiter.send(Err(RequestRefusal::new(RefusalCode::Unavailable, message)));
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(self: &Arc<Self>, slots: u32) {
        self.state.lock().queue.set_slots(slots);
        self.grant_slots();
    }

    /// Sets the number of slots that requests of an earlier owner use.
    pub fn set_external_running(self: &Arc<Self>, running: u32) {
        self.state.lock().queue.set_external_running(running);
        self.grant_slots();
    }

    /// Whether a request waits or runs here.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.state.lock().queue.contains(id)
    }

    /// The number of waiting requests and of requests that hold a slot.
    pub fn depth(&self) -> (usize, usize) {
        let state = self.state.lock();
        (state.queue.waiting(), state.queue.running())
    }

    pub(crate) fn release(&self, id: &RequestId, sample: wheel_policy::SlotSample) {
        self.state.lock().queue.finish(self.clock.now(), id, sample);
    }

    /// Assigns free slots to waiting requests, in the order of the policy.
    pub(crate) fn grant_slots(self: &Arc<Self>) {
        let now = self.clock.now();
        let (granted, refused) = {
            let mut state = self.state.lock();
            let mut granted = Vec::new();
            while let Some(request) = state.queue.take_next(now) {
                let waiter = state.waiters.remove(&request.id);
                granted.push((request.id, waiter));
            }
            (granted, take_expired(&mut state, now))
        };
        for (id, waiter) in granted {
            let guard = SlotGuard::new(Arc::clone(self), id);
            // If the waiter is gone, dropping the guard returns the slot.
            if let Some(waiter) = waiter {
                let _ = waiter.send(Ok(guard));
            }
        }
        for (waiter, refusal) in refused {
            let _ = waiter.send(Err(refusal));
        }
        self.changed.notify_one();
    }

    fn offer(
        &self,
        request: QueuedRequest,
        waiter: oneshot::Sender<SlotAnswer>,
    ) -> Result<(), RequestRefusal> {
        let id = request.id.clone();
        let mut state = self.state.lock();
        match state.queue.offer(self.clock.now(), request) {
            AdmissionResult::Queued { .. } => {
                state.waiters.insert(id, waiter);
                Ok(())
            }
            AdmissionResult::Refused { reason, retry_after } => {
                Err(refusal_for(reason, retry_after))
            }
        }
    }

    fn withdraw(&self, id: &RequestId) {
        let mut state = self.state.lock();
        state.queue.remove(id);
        state.waiters.remove(id);
    }

    fn next_deadline(&self) -> Option<MonotonicTime> {
        self.state.lock().queue.next_deadline()
    }
}

/// Removes a request from the queue when its caller is gone.
struct WaitGuard {
    queue: Arc<SlotQueue>,
    id: RequestId,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.queue.withdraw(&self.id);
    }
}

fn take_expired(
    state: &mut QueueState,
    now: MonotonicTime,
) -> Vec<(oneshot::Sender<SlotAnswer>, RequestRefusal)> {
    let expired = state.queue.expire(now);
    let refuse = |refused: RefusedRequest| {
        let waiter = state.waiters.remove(&refused.request.id)?;
        Some((waiter, refusal_for(refused.reason, refused.retry_after)))
    };
    expired.into_iter().filter_map(refuse).collect()
}

async fn expire_loop(queue: Weak<SlotQueue>) {
    loop {
        let Some(strong) = queue.upgrade() else { return };
        let due = strong.next_deadline().map(|due| strong.clock.instant(due));
        let wait = match due {
            Some(due) => due.saturating_duration_since(Instant::now()),
            None => IDLE_CHECK_INTERVAL,
        };
        // Slightly later than due, so that the entry has expired when it is checked.
        let notified = tokio::time::timeout(wait + EXPIRY_SLACK, strong.changed.notified()).await;
        if notified.is_err() {
            strong.grant_slots();
        }
    }
}

/// Interval at which the task of an empty queue checks whether the queue still exists.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a deadline at which expiry is checked.
const EXPIRY_SLACK: Duration = Duration::from_millis(1);

fn refusal_for(reason: RefusalReason, retry_after: Duration) -> RequestRefusal {
    let (code, message) = match reason {
        RefusalReason::TooLate => {
            (RefusalCode::Overloaded, "more waits than can be answered by the deadline")
        }
        RefusalReason::Expired => {
            (RefusalCode::DeadlinePassed, "no slot became free before the deadline")
        }
        RefusalReason::QueueFull => (RefusalCode::Overloaded, "the rank's queue is full"),
        RefusalReason::CallerFull => (RefusalCode::Overloaded, "the caller's queue is full"),
        RefusalReason::TooLarge => {
            (RefusalCode::BadRequest, "the request needs more KV cache than the engine has")
        }
        RefusalReason::Duplicate => {
            (RefusalCode::Unavailable, "a request with this id is already here")
        }
        RefusalReason::UnknownRank => {
            (RefusalCode::Unavailable, "the rank isn't in the text in force at the owner")
        }
    };
    RequestRefusal::new(code, message).with_retry_after(retry_after)
}

fn closed_refusal() -> RequestRefusal {
    RequestRefusal::new(RefusalCode::Unavailable, "the upstream's queue was closed")
}
