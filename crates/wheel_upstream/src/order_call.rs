//! One order to an engine, over a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use tokio::time::timeout;

use crate::call_body::CallBody;
use crate::engine_client::{host_of, with_host};
use crate::upstream_connection::UpstreamConnection;
use crate::{OrderPermit, asked_rest};

/// How an order's call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderCallOutcome {
    /// The engine answered.
    Answered {
        /// The status.
        status: StatusCode,
        /// The time for which the engine asks not to be called.
        rest: Option<Duration>,
    },
    /// No byte of its body was sent.
    NotSent,
    /// It may have reached the engine.
    Unknown,
}

/// Sends one order. Nothing is written once the permit has expired, and unacknowledged bytes are
/// discarded when the call ends.
pub struct OrderCall {
    /// The engine's address.
    pub address: SocketAddr,
    /// The permission to send it.
    pub permit: Arc<dyn OrderPermit>,
    /// Timeout for opening the connection.
    pub connect: Duration,
    /// Timeout for the answer.
    pub answer_timeout: Duration,
}

impl OrderCall {
    /// Sends `request` and waits for its answer.
    pub async fn send(self, request: Request<Bytes>) -> OrderCallOutcome {
        let opened = UpstreamConnection::open_for_order(
            self.address,
            self.connect,
            self.answer_timeout,
            self.permit.clone(),
        );
        let Ok(mut connection) = opened.await else { return OrderCallOutcome::NotSent };
        let (head, body) = with_host(request, &host_of(&self.address)).into_parts();
        let (body, body_read) = CallBody::with_permit(body, self.permit);
        let written_before = connection.gate.written();
        connection.gate.begin_request();
        let sending = connection.send.send_request(Request::from_parts(head, body));
        let answer = timeout(self.answer_timeout, sending).await;
        let was_written = connection.gate.seal() > written_before;
        match answer {
            Ok(Ok(answer)) => OrderCallOutcome::Answered {
                status: answer.status(),
                rest: asked_rest(answer.status(), answer.headers()),
            },
            _ if was_written && body_read.load(Ordering::Acquire) => OrderCallOutcome::Unknown,
            _ => OrderCallOutcome::NotSent,
        }
    }
}
