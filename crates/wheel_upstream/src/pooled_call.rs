//! One call over a pooled connection.

use std::future::Future;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep_until};
use wheel_memory::ByteLease;

use crate::call_body::CallBody;
use crate::connection_pool::{ConnectionChoice, ConnectionPool};
use crate::upstream_connection::{ConnectionTracker, UpstreamConnection};
use crate::{AnswerBody, CallFailure, CallTimeouts, FailureKind, SentState};

/// Statuses that an answer may have. hyper also takes those up to 999.
pub(crate) const FINAL_STATUSES: Range<u16> = 200..600;

/// A call that holds its connection from the first byte to the last.
///
/// If it is dropped early, the connection is reset; after a complete answer it returns to the pool.
pub(crate) struct PooledCall {
    pool: Arc<ConnectionPool>,
    connection: Option<UpstreamConnection>,
    written_before: u64,
    timeouts: CallTimeouts,
    deadline: Option<Instant>,
    resendable: bool,
    /// Whether the connection returns to the pool afterwards. Calls that never reuse a connection
    /// would only accumulate idle ones.
    keeps_connection: bool,
    slot: Option<OwnedSemaphorePermit>,
}

impl PooledCall {
    /// Sends `request` and waits for the head of its answer. A call that isn't `resendable` never
    /// ends early because its connection was retired. A kept connection over which nothing could be
    /// written is replaced.
    pub(crate) async fn send(
        pool: Arc<ConnectionPool>,
        choice: ConnectionChoice<'_>,
        resendable: bool,
        timeouts: CallTimeouts,
        mut request: Request<Bytes>,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let deadline = timeouts.total.map(|total| Instant::now() + total);
        let connect = timeouts.total.unwrap_or(timeouts.connect).min(timeouts.connect);
        loop {
            let slot = pool.reserve()?;
            let connection = pool.checkout(choice, connect).await?;
            let written_before = connection.gate.written();
            let was_kept = written_before > 0;
            let mut call = Self {
                written_before,
                pool: Arc::clone(&pool),
                connection: Some(connection),
                timeouts,
                deadline,
                resendable,
                keeps_connection: choice != ConnectionChoice::Fresh,
                slot: Some(slot),
            };
            let unsent = was_kept.then(|| request.clone());
            match (call.exchange(request.map(CallBody::new)).await, unsent) {
                (Ok(answer), _) => {
                    let (head, body) = answer.into_parts();
                    let body = AnswerBody::new(call, body, &head);
                    return Ok(Response::from_parts(head, body));
                }
                // The kept connection had ended, or bore bytes that belong to no call.
                (
                    Err(CallFailure {
                        sent: SentState::NotSent,
                        kind: FailureKind::Closed { .. },
                        ..
                    }),
                    Some(unsent),
                ) => request = unsent,
                (Err(failure), _) => return Err(failure),
            }
        }
    }

    async fn exchange(
        &mut self,
        request: Request<CallBody>,
    ) -> Result<Response<Incoming>, CallFailure> {
        let Some(connection) = &mut self.connection else {
            return Err(CallFailure::not_sent(FailureKind::CutShort));
        };
        let gate = Arc::clone(&connection.gate);
        gate.begin_request();
        let answering = connection.send.send_request(request);
        match self.wait(self.timeouts.first_byte, answering).await {
            Ok(Ok(answer)) if !FINAL_STATUSES.contains(&answer.status().as_u16()) => {
                let message =
                    format!("the status {} is that of no answer", answer.status().as_u16());
                Err(self.fail(FailureKind::BadAnswer { message }))
            }
            Ok(Ok(answer)) => {
                gate.end_head();
                self.record_arrival();
                Ok(answer)
            }
            Ok(Err(error)) => Err(self.fail(FailureKind::of_head(&error))),
            Err(kind) => Err(self.fail(kind)),
        }
    }

    /// Waits for a step that depends on received bytes, for `limit` and the deadline at most.
    pub(crate) async fn wait<F: Future>(
        &self,
        limit: Duration,
        step: F,
    ) -> Result<F::Output, FailureKind> {
        let Some(connection) = &self.connection else { return Err(FailureKind::CutShort) };
        let tracker = connection.tracker.clone();
        let mut silent_at = Instant::now() + limit;
        let mut suspect_at = self.timeouts.suspicion.map(|silence| Instant::now() + silence);
        let mut watched = self.resendable
            && self.timeouts.suspicion.is_none()
            && !connection.has_outlived_retirement();
        tokio::pin!(step);
        loop {
            let ends_at = self.deadline.map_or(silent_at, |deadline| deadline.min(silent_at));
            tokio::select! {
                biased;
                arrived = &mut step => return Ok(arrived),
                () = sleep_until(ends_at) => return Err(self.expired(ends_at, &tracker)),
                () = sleep_until(suspect_at.unwrap_or(ends_at)), if suspect_at.is_some() => {
                    suspect_at = None;
                    self.pool.record_silence(&tracker);
                }
                () = tracker.retired.cancelled(), if watched => {
                    watched = false;
                    let grace = self.pool.limits().retired_grace;
                    silent_at = silent_at.min(Instant::now() + grace);
                }
            }
        }
    }

    /// A lease for bytes of the answer.
    pub(crate) fn lease(&self) -> ByteLease {
        self.pool.lease()
    }

    /// Records that the upstream sent something.
    pub(crate) fn record_arrival(&self) {
        if let Some(connection) = &self.connection {
            self.pool.record_answer(&connection.tracker);
        }
    }

    /// Fails the call and closes its connection; nothing more is written.
    pub(crate) fn fail(&mut self, kind: FailureKind) -> CallFailure {
        self.slot = None;
        let written = self.connection.take().map(|connection| connection.gate.seal());
        let sent = match written {
            Some(written) if written == self.written_before => SentState::NotSent,
            _ => SentState::MaybeSent,
        };
        CallFailure { sent, reported_not_run: false, kind }
    }

    /// Ends the call after a complete answer.
    pub(crate) fn finish(&mut self) {
        self.slot = None;
        match self.connection.take() {
            Some(connection) if self.keeps_connection => self.pool.check_in(connection),
            _ => {}
        }
    }

    /// When it must have ended.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// The timeouts of the steps.
    pub(crate) fn timeouts(&self) -> &CallTimeouts {
        &self.timeouts
    }

    fn expired(&self, ends_at: Instant, tracker: &Arc<ConnectionTracker>) -> FailureKind {
        if self.deadline == Some(ends_at) {
            return FailureKind::Deadline;
        }
        self.pool.record_silence(tracker);
        FailureKind::Silent
    }
}

impl Drop for PooledCall {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.gate.seal();
        }
    }
}
