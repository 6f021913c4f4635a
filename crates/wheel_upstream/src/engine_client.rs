//! The client of one model engine.

use std::sync::Arc;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use tokio::sync::{Mutex, Semaphore};
use wheel_types::{EngineOrder, EngineState, LoadReport, RequestId, RequestOutcome, UpstreamName};

use crate::attempt_id::AttemptSource;
use crate::cancel_guard::CancelGuard;
use crate::connection_pool::{ConnectionChoice, ConnectionPool};
use crate::engine_probe::EngineProbe;
use crate::order_connection::OrderConnection;
use crate::pooled_call::PooledCall;
use crate::{
    AnswerBody, AttemptId, CacheEvents, CallFailure, ClientStatus, CompleteAnswer, EngineDialect,
    EngineSettings, FailureKind, GenerateCall, OrderPermit, OrderResponse, TokenStream, asked_rest,
};

const MAX_CANCELS: usize = 32;

/// Calls one engine; clones share its connections.
#[derive(Clone)]
pub struct EngineClient {
    core: Arc<EngineCore>,
}

/// The state shared by all clones of a client.
pub(crate) struct EngineCore {
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) dialect: Arc<dyn EngineDialect>,
    pub(crate) cancels: Arc<Semaphore>,
    settings: EngineSettings,
    host: HeaderValue,
    attempts: AttemptSource,
    /// Held while an order is in flight, so that there is only one at a time.
    order_lock: Mutex<()>,
}

impl EngineClient {
    /// Creates a client; connections are opened on demand.
    pub fn open(settings: EngineSettings) -> Self {
        let host = host_of(&settings.address);
        let probe = EngineProbe { dialect: settings.dialect.clone(), host: host.clone() };
        let pool = ConnectionPool::new(settings.address, settings.limits, Some(Box::new(probe)));
        let core = EngineCore {
            pool: Arc::new(pool),
            dialect: settings.dialect.clone(),
            cancels: Arc::new(Semaphore::new(MAX_CANCELS)),
            host,
            attempts: AttemptSource::new(),
            order_lock: Mutex::new(()),
            settings,
        };
        Self { core: Arc::new(core) }
    }

    /// The engine's name.
    pub fn name(&self) -> &UpstreamName {
        &self.core.settings.name
    }

    /// Counters of its connections.
    pub fn status(&self) -> ClientStatus {
        self.core.pool.status()
    }

    /// Reads the engine's state.
    pub async fn state(&self) -> Result<EngineState, CallFailure> {
        let body = self.core.read(self.core.dialect.state()).await?;
        self.core.dialect.read_state(&body).map_err(CallFailure::maybe_sent)
    }

    /// Reads the load report, which may be out of date.
    pub async fn load(&self) -> Result<LoadReport, CallFailure> {
        let body = self.core.read(self.core.dialect.load()).await?;
        self.core.dialect.read_load(&body).map_err(CallFailure::maybe_sent)
    }

    /// Reads the cache events that follow a sequence number.
    pub async fn cache_events(&self, after: u64) -> Result<CacheEvents, CallFailure> {
        let request = self.core.dialect.cache_events(after).map_err(CallFailure::not_sent)?;
        let body = self.core.read(request).await?;
        self.core.dialect.read_cache_events(&body).map_err(CallFailure::maybe_sent)
    }

    /// Asks the engine to end a request.
    pub async fn cancel(&self, request: &RequestId) -> Result<(), CallFailure> {
        self.core.cancel(request, None).await
    }

    /// Starts a generation whose body asks for a stream.
    pub async fn generate(&self, call: GenerateCall) -> Result<TokenStream, CallFailure> {
        let (answer, guard) = self.start(&call).await?;
        Ok(TokenStream::new(answer.into_body(), guard, call.call.resume_from))
    }

    /// Runs a generation whose body doesn't ask for a stream.
    pub async fn complete(&self, call: GenerateCall) -> Result<CompleteAnswer, CallFailure> {
        let (mut answer, mut guard) = self.start(&call).await?;
        let body = answer.body_mut().collect(self.core.settings.limits.max_answer_bytes).await?;
        guard.disarm();
        match self.core.dialect.body_id(&body) {
            Ok(id) if id == call.call.request_id.as_str() => Ok(CompleteAnswer { body }),
            Ok(_) => Err(CallFailure::maybe_sent(self.core.foreign_answer())),
            Err(kind) => Err(CallFailure::maybe_sent(kind)),
        }
    }

    /// Sends an order over a connection of its own, after any earlier order has ended.
    ///
    /// The engine is first probed on that connection. `permit` is checked before each write, and
    /// written bytes arrive or are lost within the order life of the settings.
    pub async fn order(&self, order: &EngineOrder, permit: Arc<dyn OrderPermit>) -> OrderResponse {
        let _lock = self.core.order_lock.lock().await;
        match self.core.dialect.order(order) {
            Ok(request) if permit.is_valid() => self.core.send_order(order, request, permit).await,
            _ => OrderResponse::NotSent,
        }
    }

    async fn start(
        &self,
        call: &GenerateCall,
    ) -> Result<(Response<AnswerBody>, CancelGuard), CallFailure> {
        let attempt = self.core.attempts.next();
        let request = self.core.dialect.generate(call, attempt).map_err(CallFailure::not_sent)?;
        let mut guard = CancelGuard::new(self.core.clone(), call.call.request_id.clone(), attempt);
        let sending = PooledCall::send(
            self.core.pool.clone(),
            ConnectionChoice::Pooled { call_id: call.call.request_id.as_str() },
            true,
            call.timeouts,
            with_host(request, &self.core.host),
        );
        let checked = match sending.await {
            Ok(answer) => self.core.check_head(&call.call.request_id, answer).await,
            Err(failure) => Err(failure),
        };
        match checked {
            Ok(answer) => Ok((answer, guard)),
            Err(failure) => {
                guard.record_failure(&failure);
                Err(failure)
            }
        }
    }
}

impl EngineCore {
    pub(crate) async fn cancel(
        &self,
        request: &RequestId,
        attempt: Option<AttemptId>,
    ) -> Result<(), CallFailure> {
        let request = self.dialect.cancel(request, attempt).map_err(CallFailure::not_sent)?;
        self.read(request).await.map(drop)
    }

    /// Sends a short repeatable call and reads the complete answer.
    async fn read(&self, request: Request<Bytes>) -> Result<Bytes, CallFailure> {
        let (id, request) = self.with_id(request).map_err(CallFailure::not_sent)?;
        let sending = PooledCall::send(
            self.pool.clone(),
            ConnectionChoice::Pooled { call_id: id.as_str() },
            true,
            self.settings.timeouts,
            request,
        );
        let mut answer = self.check_id(&id, sending.await?)?;
        let body = answer.body_mut().collect(self.settings.limits.max_answer_bytes).await?;
        let rest = asked_rest(answer.status(), answer.headers());
        match answer.status() {
            status if status.is_success() => Ok(body),
            status => Err(CallFailure::maybe_sent(FailureKind::Refused { status, body, rest })),
        }
    }

    /// Checks that an answer belongs to the request and isn't a refusal.
    async fn check_head(
        &self,
        request: &RequestId,
        answer: Response<AnswerBody>,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        let mut answer = self.check_id(request, answer)?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        let reported = self.dialect.reported_outcome(answer.headers());
        let reported_not_run = reported == Some(RequestOutcome::NotRun);
        let status = answer.status();
        let limit = self.settings.limits.max_answer_bytes;
        // The outcome depends on the head alone; if the body is cut short only its text is lost.
        let body = answer.body_mut().collect(limit).await.unwrap_or_default();
        let rest = asked_rest(status, answer.headers());
        let kind = FailureKind::Refused { status, body, rest };
        Err(CallFailure { reported_not_run, ..CallFailure::maybe_sent(kind) })
    }

    fn check_id(
        &self,
        request: &RequestId,
        mut answer: Response<AnswerBody>,
    ) -> Result<Response<AnswerBody>, CallFailure> {
        match self.dialect.answer_id(answer.headers()) {
            Some(id) if id == request.as_str() => Ok(answer),
            _ => Err(answer.body_mut().fail(self.foreign_answer())),
        }
    }

    async fn send_order(
        &self,
        order: &EngineOrder,
        request: Request<Bytes>,
        permit: Arc<dyn OrderPermit>,
    ) -> OrderResponse {
        let (Ok((probe_id, probe)), Ok((id, request))) =
            (self.with_id(self.dialect.probe()), self.with_id(request))
        else {
            return OrderResponse::NotSent;
        };
        let opening = OrderConnection::open(&self.settings, permit);
        let Ok(mut connection) = opening.await else { return OrderResponse::NotSent };
        if !connection.probe(&probe_id, probe).await {
            return OrderResponse::NotSent;
        }
        connection.send(order, &id, request).await
    }

    /// Adds the host and a fresh id, which the answer has to repeat.
    fn with_id(&self, request: Request<Bytes>) -> Result<(RequestId, Request<Bytes>), FailureKind> {
        let id = self.attempts.next().to_request_id();
        let mut request = with_host(request, &self.host);
        self.dialect.set_id(request.headers_mut(), &id)?;
        Ok((id, request))
    }

    fn foreign_answer(&self) -> FailureKind {
        self.pool.counters.foreign_answers.add_one();
        FailureKind::ForeignAnswer
    }
}

/// The `Host` header of an address.
pub(crate) fn host_of(address: &std::net::SocketAddr) -> HeaderValue {
    let host = HeaderValue::try_from(address.to_string());
    debug_assert!(host.is_ok(), "an address is made of visible characters");
    host.unwrap_or_else(|_| HeaderValue::from_static("upstream"))
}

/// Adds the `Host` header.
pub(crate) fn with_host(mut request: Request<Bytes>, host: &HeaderValue) -> Request<Bytes> {
    request.headers_mut().entry(HOST).or_insert_with(|| host.clone());
    request
}
