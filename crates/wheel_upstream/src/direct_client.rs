//! A client for short calls whose answers carry no id.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request};

use crate::connection_pool::{ConnectionChoice, ConnectionPool};
use crate::engine_client::{host_of, with_host};
use crate::pooled_call::PooledCall;
use crate::{CallFailure, CallTimeouts, ConnectionLimits, DirectAnswer, asked_rest};

/// Fetches small answers, such as a list or a state, from one address; clones share its limits.
///
/// Each answer has a connection of its own, since nothing else shows which request it belongs to.
#[derive(Clone)]
pub struct DirectClient {
    pool: Arc<ConnectionPool>,
    host: HeaderValue,
    max_answer: usize,
}

impl DirectClient {
    /// Creates a client, which opens connections on demand.
    pub fn open(address: SocketAddr, limits: ConnectionLimits) -> Self {
        let pool = ConnectionPool::new(address, limits, None);
        let max_answer = limits.max_answer_bytes;
        Self { pool: Arc::new(pool), host: host_of(&address), max_answer }
    }

    /// Sends a repeatable request and reads the complete answer, within `limit`.
    ///
    /// # Errors
    /// [`CallFailure`] if there is no complete answer in time.
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<DirectAnswer, CallFailure> {
        let timeouts =
            CallTimeouts::default().connect(limit).first_byte(limit).progress(limit).total(limit);
        let request = with_host(request, &self.host);
        let choice = ConnectionChoice::Fresh;
        let sending = PooledCall::send(self.pool.clone(), choice, true, timeouts, request);
        let (head, mut body) = sending.await?.into_parts();
        let body = body.collect(self.max_answer).await?;
        let rest = asked_rest(head.status, &head.headers);
        Ok(DirectAnswer { status: head.status, rest, body })
    }
}
