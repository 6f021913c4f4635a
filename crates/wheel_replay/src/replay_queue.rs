//! The queue of an engine under each policy.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wheel_policy::{
    AdmissionResult, EngineQueue, QueuedRequest, RefusalReason, RefusedRequest, SlotSample,
};
use wheel_types::{MonotonicTime, RequestId};

/// Retry time given by a first-come queue, which has no estimate of its own.
const FIRST_COME_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Maximum number of requests in a first-come queue.
const FIRST_COME_CAPACITY: usize = 3_072;

/// An engine's queue: ranked, or first come, first served.
#[derive(Debug)]
pub(crate) enum ReplayQueue {
    /// The queue of wisteriawheel; for strict ranks its floors are 0.
    Ranked(Box<EngineQueue>),
    /// The baseline.
    FirstCome(FirstComeQueue),
}

/// A queue in order of arrival. A request past its deadline is dropped when it reaches the front.
#[derive(Debug, Default)]
pub(crate) struct FirstComeQueue {
    slots: usize,
    waiting: VecDeque<QueuedRequest>,
    running: HashMap<RequestId, ()>,
    expired: Vec<RefusedRequest>,
}

impl ReplayQueue {
    /// An empty first-come queue.
    pub(crate) fn first_come(slots: u32) -> Self {
        Self::FirstCome(FirstComeQueue { slots: slots as usize, ..FirstComeQueue::default() })
    }

    /// See [`EngineQueue::offer`].
    pub(crate) fn offer(&mut self, now: MonotonicTime, request: QueuedRequest) -> AdmissionResult {
        match self {
            Self::Ranked(queue) => queue.offer(now, request),
            Self::FirstCome(queue) if queue.waiting.len() >= FIRST_COME_CAPACITY => {
                let reason = RefusalReason::QueueFull;
                AdmissionResult::Refused { reason, retry_after: FIRST_COME_RETRY_AFTER }
            }
            Self::FirstCome(queue) => {
                queue.waiting.push_back(request);
                AdmissionResult::Queued { wait: Duration::ZERO, ahead: queue.waiting.len() - 1 }
            }
        }
    }

    /// See [`EngineQueue::take_next`].
    pub(crate) fn take_next(&mut self, now: MonotonicTime) -> Option<QueuedRequest> {
        match self {
            Self::Ranked(queue) => queue.take_next(now),
            Self::FirstCome(queue) => queue.take_next(now),
        }
    }

    /// See [`EngineQueue::finish`].
    pub(crate) fn finish(&mut self, now: MonotonicTime, id: &RequestId, sample: SlotSample) {
        match self {
            Self::Ranked(queue) => queue.finish(now, id, sample),
            Self::FirstCome(queue) => {
                queue.running.remove(id);
            }
        }
    }

    /// See [`EngineQueue::expire`].
    pub(crate) fn expire(&mut self, now: MonotonicTime) -> Vec<RefusedRequest> {
        match self {
            Self::Ranked(queue) => queue.expire(now),
            Self::FirstCome(queue) => std::mem::take(&mut queue.expired),
        }
    }

    /// See [`EngineQueue::drain`].
    pub(crate) fn drain(&mut self) -> Vec<QueuedRequest> {
        match self {
            Self::Ranked(queue) => queue.drain(),
            Self::FirstCome(queue) => queue.waiting.drain(..).collect(),
        }
    }

    /// See [`EngineQueue::next_deadline`].
    pub(crate) fn next_deadline(&self) -> Option<MonotonicTime> {
        match self {
            Self::Ranked(queue) => queue.next_deadline(),
            Self::FirstCome(_) => None,
        }
    }
}

impl FirstComeQueue {
    fn take_next(&mut self, now: MonotonicTime) -> Option<QueuedRequest> {
        while self.running.len() < self.slots {
            let request = self.waiting.pop_front()?;
            if request.deadline >= now {
                self.running.insert(request.id.clone(), ());
                return Some(request);
            }
            let (reason, retry_after) = (RefusalReason::Expired, FIRST_COME_RETRY_AFTER);
            self.expired.push(RefusedRequest { request, reason, retry_after });
        }
        None
    }
}
