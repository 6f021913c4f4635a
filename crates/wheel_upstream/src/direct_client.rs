//! Short calls whose answers are read whole and carry no id.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};

use crate::connection_pool::{ConnectionChoice, ConnectionPool};
use crate::engine_client::{host_of, with_host};
use crate::pooled_call::PooledCall;
use crate::{CallFailure, CallTimeouts, ConnectionLimits};

/// Asks one address for small answers, such as a list or a state; clones share its connections.
#[derive(Clone)]
pub struct DirectClient {
    pool: Arc<ConnectionPool>,
    host: HeaderValue,
    max_answer: usize,
}

impl DirectClient {
    /// Makes a client; connections are opened when they are needed.
    pub fn open(address: SocketAddr, limits: ConnectionLimits) -> Self {
        let pool = ConnectionPool::new(address, limits, None);
        let max_answer = limits.max_answer_bytes;
        Self { pool: Arc::new(pool), host: host_of(&address), max_answer }
    }

    /// Sends a request that may be repeated and reads the answer, within `limit`.
    ///
    /// # Errors
    /// [`CallFailure`] without a whole answer in time.
    pub async fn ask(
        &self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let timeouts =
            CallTimeouts::default().connect(limit).first_byte(limit).progress(limit).total(limit);
        let request = with_host(request, &self.host);
        let choice = ConnectionChoice::Pooled;
        let sending = PooledCall::send(self.pool.clone(), choice, true, timeouts, request);
        let (head, mut body) = sending.await?.into_parts();
        Ok((head.status, body.collect(self.max_answer).await?))
    }
}
