//! The fake engine.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::time::Instant;
use wheel_types::{EngineOrder, EngineState, LoadReport, ModelName, OrderAction, RequestId};

use crate::call_headers::CallHeaders;
use crate::engine_stream::TokenRun;
use crate::fake_engine_state::FakeEngineState;
use crate::fake_server::{
    FakeAbort, FakeBody, FakeHandler, FakeServer, full_body, json_answer, read_body,
};
use crate::{FakeEngineSettings, FakeStore, FaultPlan};

/// A running fake engine.
pub struct FakeEngine {
    shared: Arc<EngineShared>,
    server: tokio::sync::Mutex<FakeServer>,
    address: SocketAddr,
}

struct EngineShared {
    settings: FakeEngineSettings,
    engine: Arc<Mutex<FakeEngineState>>,
    faults: Mutex<FaultPlan>,
    adapters_in_flight: AtomicUsize,
}

const MAX_ADAPTERS_AT_FULL_SPEED: usize = 32;
const DEFAULT_TOKENS: u64 = 16;

impl FakeEngine {
    /// Starts an engine.
    ///
    /// # Errors
    /// The error of binding the address.
    pub async fn bind(settings: FakeEngineSettings) -> io::Result<Self> {
        let mut engine = FakeEngineState::default();
        engine.state.incarnation = settings.incarnation;
        engine.state.memory_mib = settings.memory_mib;
        engine.state.disk_checkpoints = settings.disk_checkpoints.clone();
        let shared = Arc::new(EngineShared {
            engine: Arc::new(Mutex::new(engine)),
            faults: Mutex::default(),
            adapters_in_flight: AtomicUsize::new(0),
            settings,
        });
        let server = FakeServer::bind(shared.settings.address, shared.clone()).await?;
        let address = server.address;
        Ok(Self { shared, server: tokio::sync::Mutex::new(server), address })
    }

    /// The address that it listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: FaultPlan) {
        *self.shared.faults.lock() = faults;
    }

    /// Sets whether it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.faults.lock().leaving = leaving;
    }

    /// The state that `GET /engine/v1/state` returns.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Number of runs of a request from its first token.
    pub fn runs(&self, request: &RequestId) -> u64 {
        self.shared.engine.lock().runs.get(request).copied().unwrap_or_default()
    }

    /// Number of resumed runs of a request.
    pub fn resumes(&self, request: &RequestId) -> u64 {
        self.shared.engine.lock().resumes.get(request).copied().unwrap_or_default()
    }

    /// Number of orders that it accepted.
    pub fn orders_carried(&self) -> u64 {
        self.shared.engine.lock().orders_carried
    }

    /// Highest memory use so far, in mebibytes.
    pub fn max_used_mib(&self) -> u64 {
        self.shared.engine.lock().max_used_mib
    }

    /// Loads a model immediately, without an order.
    pub fn preload(&self, model: &str, memory_mib: u64) {
        let model = ModelName::from(model);
        let action = OrderAction::LoadModel { model, version: 1, memory_mib };
        let mut engine = self.shared.engine.lock();
        let order_id = RequestId::new(format!("preload-{:?}", action));
        let (incarnation, fencing_number) = (engine.state.incarnation, engine.state.fencing_number);
        let order = EngineOrder { order_id, fencing_number, incarnation, action };
        engine.handle_order(&order, false, false);
        engine.finish_action(&order.action);
    }

    /// Simulates a crash: listener and connections close immediately.
    pub async fn kill(&self) {
        self.server.lock().await.kill().await;
    }

    /// Simulates a crash and a restart on the same address, with empty memory and a new incarnation.
    ///
    /// # Errors
    /// The error of binding the address again.
    pub async fn restart(&self) -> io::Result<()> {
        let mut server = self.server.lock().await;
        server.kill().await;
        self.shared.engine.lock().restart();
        *server = FakeServer::bind(self.address, self.shared.clone()).await?;
        Ok(())
    }
}

impl FakeHandler for EngineShared {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<FakeBody>, FakeAbort>> {
        Box::pin(self.answer(request))
    }

    fn never_read(&self) -> bool {
        self.faults.lock().never_read
    }
}

impl EngineShared {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<FakeBody>, FakeAbort> {
        let (head, body) = request.into_parts();
        let query = head.uri.query().unwrap_or_default().to_owned();
        let body = read_body(body).await?;
        let id = head.headers.get("wheel-request-id").cloned();
        let sent: Value = serde_json::from_slice(&body).unwrap_or_default();
        let result = match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.generate(&head.headers, body, true).await
            }
            (&Method::POST, "/v1/completions") => self.generate(&head.headers, body, false).await,
            (&Method::POST, "/engine/v1/orders") => match serde_json::from_value(sent) {
                Ok(order) => self.handle_order(order).await,
                Err(_) => Ok(json_answer(StatusCode::BAD_REQUEST, &json!({"accepted": false}))),
            },
            (&Method::POST, "/engine/v1/cancel") => Ok(self.cancel(&sent)),
            (&Method::GET, "/engine/v1/state") => {
                let state = self.state();
                let faults = self.faults.lock().clone();
                faults.delay_state().await;
                Ok(json_answer(StatusCode::OK, &state))
            }
            (&Method::GET, "/engine/v1/load") => Ok(json_answer(StatusCode::OK, &self.load())),
            (&Method::GET, "/engine/v1/cache-events") => Ok(self.cache_events(&query)),
            (&Method::POST, "/engine/v1/kv/export") => Ok(self.export_prefix(&sent)),
            (&Method::POST, "/engine/v1/kv/import") => Ok(self.import_prefix(&sent)),
            (&Method::PUT, "/fake/faults") => {
                *self.faults.lock() = serde_json::from_value(sent).unwrap_or_default();
                Ok(json_answer(StatusCode::OK, &json!({})))
            }
            (&Method::GET, "/fake/counters") => Ok(self.counters()),
            _ => Ok(json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such path"}))),
        };
        result.map(|mut answer| {
            if let Some(id) = id {
                answer.headers_mut().entry("wheel-request-id").or_insert(id);
            }
            answer
        })
    }

    fn state(&self) -> EngineState {
        let leaving = self.faults.lock().leaving;
        let engine = self.engine.lock();
        let mut state = engine.state.clone();
        state.leaving = leaving;
        state.running = engine.running.iter().map(|call| call.request.clone()).collect();
        state
    }

    fn load(&self) -> LoadReport {
        let mut engine = self.engine.lock();
        let waiting = engine.waiting();
        let fresh = LoadReport {
            incarnation: engine.state.incarnation,
            running: (engine.running.len() - waiting) as u32,
            waiting: waiting as u32,
            ..LoadReport::default()
        };
        let (at, report) = match engine.load_report {
            Some((at, report)) if at.elapsed() < self.settings.load_lag => (at, report),
            _ => (Instant::now(), fresh),
        };
        engine.load_report = Some((at, report));
        LoadReport { age_ms: at.elapsed().as_millis() as u64, ..report }
    }

    async fn generate(
        self: Arc<Self>,
        headers: &HeaderMap,
        body: bytes::Bytes,
        chat: bool,
    ) -> Result<Response<FakeBody>, FakeAbort> {
        let sent: Value = serde_json::from_slice(&body).unwrap_or_default();
        let head = CallHeaders::read(headers);
        let faults = self.faults.lock().clone();
        let answer_id = faults.answer_id.clone().unwrap_or_else(|| head.request.clone());
        let run = match self.start(&head, &sent, &faults) {
            Ok((number, cancelled, slot_grant)) => TokenRun {
                engine: self.engine.clone(),
                number,
                cancelled,
                slot_grant: Some(slot_grant),
                request: head.request,
                body,
                chat,
                next_index: head.resume_from,
                max_tokens: sent["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS),
                sent: 0,
                done: false,
                token_time: self.settings.token_time,
                faults: faults.clone(),
            },
            Err(status) => {
                self.engine.lock().calls_refused += 1;
                let mut refusal = refusal(status, &answer_id);
                faults.add_retry_after(&mut refusal);
                return Ok(refusal);
            }
        };
        if faults.never_answer {
            return std::future::pending().await;
        }
        let mut answer = answer_run(run, sent["stream"] == true).await?;
        faults.delay_answer().await;
        if faults.close_before_answer {
            return Err(FakeAbort);
        }
        set_request_id(&mut answer, &answer_id);
        Ok(answer)
    }

    fn start(
        &self,
        head: &CallHeaders,
        sent: &Value,
        faults: &FaultPlan,
    ) -> Result<CallStart, StatusCode> {
        let mut engine = self.engine.lock();
        let model = sent["model"].as_str().unwrap_or_default();
        match () {
            () if faults.refuse || faults.leaving => Err(StatusCode::SERVICE_UNAVAILABLE),
            () if !engine.serves(model) => Err(StatusCode::NOT_FOUND),
            () if engine.waiting() >= self.settings.max_waiting => {
                Err(StatusCode::SERVICE_UNAVAILABLE)
            }
            () => {
                engine.cache_prefix(&format!("{model}/{}", sent["messages"][0]["content"]));
                Ok(engine.start_call(head, model, self.settings.slots))
            }
        }
    }

    async fn handle_order(
        self: Arc<Self>,
        order: EngineOrder,
    ) -> Result<Response<FakeBody>, FakeAbort> {
        let faults = self.faults.lock().clone();
        let enforces_fencing = self.settings.enforces_fencing && !faults.ignore_fencing;
        let checks_memory = self.settings.checks_memory;
        let (mut reply, is_new) =
            self.engine.lock().handle_order(&order, enforces_fencing, checks_memory);
        reply.order_id = faults.answer_id.clone().unwrap_or(reply.order_id);
        if is_new {
            tokio::spawn(self.clone().finish_order(order));
        }
        faults.delay_answer().await;
        match () {
            () if faults.never_answer => std::future::pending().await,
            () if faults.close_before_answer => Err(FakeAbort),
            () if reply.accepted => Ok(json_answer(StatusCode::OK, &reply)),
            () => Ok(json_answer(StatusCode::CONFLICT, &reply)),
        }
    }

    async fn finish_order(self: Arc<Self>, order: EngineOrder) {
        let state = self.state();
        match &order.action {
            OrderAction::LoadModel { model, .. } if state.memory_checkpoints.contains(model) => {
                tokio::time::sleep(self.settings.memory_load).await;
            }
            OrderAction::LoadModel { model, .. } if state.disk_checkpoints.contains(model) => {
                tokio::time::sleep(self.settings.disk_load).await;
            }
            OrderAction::LoadModel { model, version, .. } => {
                if let Some(store) = self.settings.store {
                    FakeStore::fetch(store, model, *version).await;
                }
                tokio::time::sleep(self.settings.store_load).await;
            }
            OrderAction::UnloadModel { .. } => tokio::time::sleep(self.settings.memory_load).await,
            OrderAction::LoadAdapter { .. } => {
                let in_flight = self.adapters_in_flight.fetch_add(1, Ordering::Relaxed) + 1;
                let slower = in_flight as f64 / MAX_ADAPTERS_AT_FULL_SPEED as f64;
                tokio::time::sleep(self.settings.adapter_load.mul_f64(slower.max(1.0))).await;
                self.adapters_in_flight.fetch_sub(1, Ordering::Relaxed);
            }
            _ => {}
        }
        let mut engine = self.engine.lock();
        if engine.state.incarnation == order.incarnation {
            engine.finish_action(&order.action);
        }
    }

    fn cancel(&self, sent: &Value) -> Response<FakeBody> {
        let engine = self.engine.lock();
        let calls = engine.running.iter().filter(|call| {
            let attempt = sent["attempt_id"].as_str().unwrap_or(&call.attempt);
            sent["request_id"].as_str() == Some(call.request.as_str()) && attempt == call.attempt
        });
        let cancelled = calls.inspect(|call| call.cancelled.cancel()).count();
        json_answer(StatusCode::OK, &json!({"cancelled": cancelled > 0}))
    }

    fn cache_events(&self, query: &str) -> Response<FakeBody> {
        let after = query.strip_prefix("after=").and_then(|after| after.parse::<u64>().ok());
        let (delay, gap) = (self.settings.event_delay, self.settings.event_gap);
        let engine = self.engine.lock();
        let visible = engine.events.iter().filter(|(at, event)| {
            let sequence = event["sequence"].as_u64().unwrap_or_default();
            let lost = gap > 0 && sequence.is_multiple_of(gap);
            at.elapsed() >= delay && !lost && sequence > after.unwrap_or_default()
        });
        let events: Vec<_> = visible.map(|(_, event)| event.clone()).collect();
        json_answer(StatusCode::OK, &json!({"events": events}))
    }

    fn export_prefix(&self, sent: &Value) -> Response<FakeBody> {
        let prefix_hash = sent["prefix_hash"].as_str().unwrap_or_default();
        match self.engine.lock().prefixes.contains(prefix_hash) {
            true => json_answer(StatusCode::OK, &json!({"prefix_hash": prefix_hash, "kv": "00"})),
            false => json_answer(StatusCode::NOT_FOUND, &json!({"error": "no such prefix"})),
        }
    }

    fn import_prefix(&self, sent: &Value) -> Response<FakeBody> {
        let prefix_hash = sent["prefix_hash"].as_str().unwrap_or_default();
        self.engine.lock().cache_prefix(prefix_hash);
        json_answer(StatusCode::OK, &json!({"imported": true}))
    }

    fn counters(&self) -> Response<FakeBody> {
        let engine = self.engine.lock();
        let runs: HashMap<_, _> =
            engine.runs.iter().map(|(id, runs)| (id.as_str(), runs)).collect();
        let resumes: HashMap<_, _> =
            engine.resumes.iter().map(|(id, resumes)| (id.as_str(), resumes)).collect();
        let counters = json!({
            "runs": runs,
            "resumes": resumes,
            "orders_carried": engine.orders_carried,
            "max_used_mib": engine.max_used_mib,
            "calls_unloaded": engine.calls_unloaded,
            "calls_refused": engine.calls_refused,
        });
        json_answer(StatusCode::OK, &counters)
    }
}

type CallStart = (u64, tokio_util::sync::CancellationToken, tokio::sync::oneshot::Receiver<()>);

async fn answer_run(mut run: TokenRun, streamed: bool) -> Result<Response<FakeBody>, FakeAbort> {
    if streamed {
        let mut answer = Response::new(run.into_body());
        let kind = http::HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert("content-type", kind);
        return Ok(answer);
    }
    let text = run.full_text().await?;
    let choice = match run.chat {
        true => json!({"index": 0, "message": {"role": "assistant", "content": text}}),
        false => json!({"index": 0, "text": text}),
    };
    let id = run.faults.answer_id.as_ref().unwrap_or(&run.request);
    Ok(json_answer(StatusCode::OK, &json!({"id": id, "choices": [choice]})))
}

fn refusal(status: StatusCode, request: &RequestId) -> Response<FakeBody> {
    let mut answer = Response::new(full_body(bytes::Bytes::new()));
    *answer.status_mut() = status;
    answer.headers_mut().insert("wheel-outcome", http::HeaderValue::from_static("not-run"));
    set_request_id(&mut answer, request);
    answer
}

pub(crate) fn set_request_id(answer: &mut Response<FakeBody>, request: &RequestId) {
    if let Ok(id) = http::HeaderValue::from_str(request.as_str()) {
        answer.headers_mut().insert("wheel-request-id", id);
    }
}
