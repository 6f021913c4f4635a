//! The client of one plain service.

use std::sync::Arc;

use http::HeaderValue;
use wheel_seams::is_planted;
use wheel_types::UpstreamName;

use crate::connection_pool::{ConnectionChoice, ConnectionPool};
use crate::engine_client::{host_of, with_host};
use crate::pooled_call::PooledCall;
use crate::service_dialect::without_hop_headers;
use crate::service_probe::ServiceProbe;
use crate::{CallFailure, ClientStatus, FailureKind, ServiceAnswer, ServiceCall, ServiceSettings};

/// Calls one plain service; clones share its connections.
#[derive(Clone)]
pub struct ServiceClient {
    settings: Arc<ServiceSettings>,
    pool: Arc<ConnectionPool>,
    host: HeaderValue,
}

impl ServiceClient {
    /// Creates a client; connections are opened on demand.
    pub fn open(settings: ServiceSettings) -> Self {
        let host = host_of(&settings.address);
        let probe = ServiceProbe { dialect: settings.dialect.clone(), host: host.clone() };
        let pool = ConnectionPool::new(settings.address, settings.limits, Some(Box::new(probe)));
        Self { settings: Arc::new(settings), pool: Arc::new(pool), host }
    }

    /// The service's name.
    pub fn name(&self) -> &UpstreamName {
        &self.settings.name
    }

    /// Counters of its connections.
    pub fn status(&self) -> ClientStatus {
        self.pool.status()
    }

    /// Makes a call and returns the answer, whose body is still to be read.
    ///
    /// An answer whose end can't be distinguished from a broken connection is a failure.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer, CallFailure> {
        let dialect = &self.settings.dialect;
        let request = dialect.request(&call).map_err(CallFailure::not_sent)?;
        let choice = match call.idempotent {
            true => ConnectionChoice::Pooled { call_id: call.request_id.as_str() },
            false => ConnectionChoice::Fresh,
        };
        let sending = PooledCall::send(
            self.pool.clone(),
            choice,
            call.idempotent,
            call.timeouts,
            with_host(request, &self.host),
        );
        let (head, mut body) = sending.await?.into_parts();
        let is_own = dialect.answer_id(&head.headers) == Some(call.request_id.as_str());
        if !is_own && !is_planted("answer_of_another") {
            self.pool.counters.foreign_answers.add_one();
            return Err(body.fail(FailureKind::ForeignAnswer));
        }
        let is_bounded = call.method == http::Method::HEAD || dialect.ends_by_close();
        if !is_bounded && !body.framing().has_explicit_end() {
            let message = "neither a length nor chunks".to_owned();
            return Err(body.fail(FailureKind::BadAnswer { message }));
        }
        let outcome = dialect.outcome(head.status, &head.headers);
        let headers = without_hop_headers(head.headers);
        Ok(ServiceAnswer { status: head.status, headers, outcome, body })
    }
}
