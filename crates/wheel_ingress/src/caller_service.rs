//! Converts callers' HTTP requests to typed requests, and their answers to HTTP responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::Rng;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use wheel_manifest::{ActiveManifest, ServiceSpec};
use wheel_types::{CallerName, RequestId, RequestOutcome};

use crate::caller_resolver::{CallerResolver, is_safe_method};
use crate::{
    AnswerBody, CallerAnswer, CallerRequest, GenerateTarget, HttpLimits, ManifestSource,
    PlainTarget, ReadDeadline, RefusalCode, RequestHandler, RequestMetrics, RequestRefusal,
    RequestTarget, full_body, header_names, read_body,
};

/// `Retry-After` of requests that exceed the limit on open requests.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Longest pause of a caller after the deadline of its request, which is that of the first byte: as
/// long as an upstream may pause within an answer.
const READ_PAUSE: Duration = Duration::from_secs(5);

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Headers that aren't forwarded: they belong to one connection or are set by the system itself.
const NOT_FORWARDED: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "wheel-request-id",
];

/// Settings of [`CallerService`].
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Limits on each request.
    pub limits: HttpLimits,
    /// Largest number of open requests in this instance; further ones are refused.
    pub open_requests: usize,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self { limits: HttpLimits::default(), open_requests: 8_192 }
    }
}

/// Serves callers over HTTP.
#[derive(Clone)]
pub struct CallerService {
    settings: CallerSettings,
    source: Arc<dyn ManifestSource>,
    handler: Arc<dyn RequestHandler>,
    metrics: Arc<RequestMetrics>,
    open: Arc<Semaphore>,
}

impl CallerService {
    /// Creates a service that resolves requests by the manifests of `source` and passes them to
    /// `handler`.
    pub fn new(
        settings: CallerSettings,
        source: Arc<dyn ManifestSource>,
        handler: Arc<dyn RequestHandler>,
        metrics: Arc<RequestMetrics>,
    ) -> Self {
        let open = Arc::new(Semaphore::new(settings.open_requests));
        Self { settings, source, handler, metrics, open }
    }

    /// Answers one HTTP request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrival = Instant::now();
        let id = new_request_id();
        let (deadline, answer) = match self.try_answer(&id, arrival, request).await {
            Ok(answered) => answered,
            Err(refusal) => {
                self.metrics.count_refusal(refusal.code);
                (arrival, refusal.into_answer())
            }
        };
        let mut response = into_response(&id, answer);
        response.extensions_mut().insert(ReadDeadline::new(deadline).pause(READ_PAUSE));
        response
    }

    /// The answer, and the deadline of its first byte.
    async fn try_answer(
        &self,
        id: &RequestId,
        arrival: Instant,
        request: Request<Incoming>,
    ) -> Result<(Instant, CallerAnswer), RequestRefusal> {
        let permit = Arc::clone(&self.open).try_acquire_owned().map_err(|_| {
            RequestRefusal::new(RefusalCode::Overloaded, "too many requests are open here")
                .with_retry_after(BUSY_RETRY)
        })?;
        let manifest = self.source.current().ok_or_else(|| {
            RequestRefusal::new(RefusalCode::NotReady, "no configuration is in force yet")
                .with_retry_after(BUSY_RETRY)
        })?;
        let (parts, body) = request.into_parts();
        let resolver = CallerResolver { manifest: &manifest };
        let caller = resolver.caller(&parts.headers)?;
        let context =
            |caller| RequestContext { resolver: &resolver, id, caller, arrival, parts: &parts };
        let typed = match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/v1/models") => {
                return Ok((arrival, list_models(&manifest, &caller)));
            }
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                let body = read_body(body, &self.settings.limits).await?;
                context(caller).generate_request(body)?
            }
            (_, "/v1/models" | "/v1/chat/completions" | "/v1/completions") => {
                let message = format!("{} isn't allowed here", parts.method);
                return Err(RequestRefusal::new(RefusalCode::MethodNotAllowed, message));
            }
            (_, path) => {
                resolver.plain_service(&caller, path)?;
                let body = read_body(body, &self.settings.limits).await?;
                context(caller).plain_request(body)?
            }
        };
        let timer = self.metrics.begin(&typed, &manifest);
        let deadline = typed.deadline;
        let answer = self.handler.serve(typed).await;
        Ok((deadline, timer.watch(answer, permit)))
    }
}

/// The parts of a request that are known before its target.
struct RequestContext<'a> {
    resolver: &'a CallerResolver<'a>,
    id: &'a RequestId,
    caller: CallerName,
    arrival: Instant,
    parts: &'a Parts,
}

impl RequestContext<'_> {
    fn generate_request(self, body: Bytes) -> Result<CallerRequest, RequestRefusal> {
        let resolved = self.resolver.model(&body)?;
        let spec = self.resolver.generate_service(&self.caller, &resolved)?;
        let target = GenerateTarget {
            path: self.parts.uri.path().into(),
            model: resolved.model,
            adapter: resolved.adapter,
            stream: resolved.stream,
        };
        self.with_target(spec, RequestTarget::Generate(target), body)
    }

    fn plain_request(self, body: Bytes) -> Result<CallerRequest, RequestRefusal> {
        let uri = &self.parts.uri;
        let spec = self.resolver.plain_service(&self.caller, uri.path())?;
        let prefix_len = spec.path_prefix.as_deref().map_or(0, str::len);
        let whole = uri.path_and_query().map_or("/", |path| path.as_str());
        let path = match &whole[prefix_len..] {
            "" => "/".to_owned(),
            rest if rest.starts_with('?') => format!("/{rest}"),
            rest => rest.to_owned(),
        };
        let target = PlainTarget {
            method: self.parts.method.clone(),
            path: path.into(),
            headers: forwarded_headers(&self.parts.headers),
            repeatable: spec.idempotent || is_safe_method(&self.parts.method),
        };
        self.with_target(spec, RequestTarget::Plain(target), body)
    }

    fn with_target(
        self,
        spec: &ServiceSpec,
        target: RequestTarget,
        body: Bytes,
    ) -> Result<CallerRequest, RequestRefusal> {
        let headers = &self.parts.headers;
        let service = self.resolver.resolve_service(spec, headers, self.arrival)?;
        Ok(CallerRequest {
            id: self.id.clone(),
            caller: self.caller,
            service: spec.name.clone(),
            rank: service.rank,
            target,
            idempotency_key: idempotency_key(headers)?,
            arrival: self.arrival,
            deadline: service.deadline,
            body,
        })
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Arc<str>>, RequestRefusal> {
    let Some(value) = headers.get(header_names::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => Err(RequestRefusal::new(
            RefusalCode::BadRequest,
            format!("the header idempotency-key isn't 1 to {MAX_KEY_BYTES} printable characters"),
        )),
    }
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let forwarded = headers.iter().filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn list_models(manifest: &ActiveManifest, caller: &CallerName) -> CallerAnswer {
    let usable = |model: &&wheel_manifest::ModelSpec| {
        manifest
            .index
            .services_of(model.name.as_str())
            .any(|service| service.callers.is_empty() || service.callers.contains(caller))
    };
    let models: Vec<_> = manifest
        .manifest
        .models
        .iter()
        .filter(usable)
        .map(|model| json!({ "id": model.name, "object": "model", "owned_by": "wisteriawheel" }))
        .collect();
    let body = json!({ "object": "list", "data": models }).to_string();
    let mut answer = CallerAnswer::new(StatusCode::OK, RequestOutcome::Ran, full_body(body));
    let json_type = HeaderValue::from_static("application/json");
    answer.headers.insert(header::CONTENT_TYPE, json_type);
    answer
}

fn into_response(id: &RequestId, answer: CallerAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let headers = response.headers_mut();
    headers.insert(header_names::OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(header_names::REQUEST_ID, value);
    }
    response
}

fn new_request_id() -> RequestId {
    RequestId::new(format!("{:032x}", rand::rng().random::<u128>()))
}
