//! The admin API of an instance.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::{Value, json};
use wheel_manifest::{DeploymentManifest, ManifestFault};
use wheel_types::ManifestRevision;

use crate::{
    AdminHandler, AdminReply, AnswerBody, ApplyRequest, HttpLimits, full_body, header_names,
    read_body,
};

/// Settings of [`AdminService`].
#[derive(Clone, Debug, Default)]
pub struct AdminSettings {
    /// Limits on each request.
    pub limits: HttpLimits,
    /// The BLAKE3 hash of the operators' token. Without one every call is allowed, and the daemon
    /// only listens on loopback.
    pub token_hash: Option<blake3::Hash>,
}

/// Serves the admin API over HTTP.
#[derive(Clone)]
pub struct AdminService {
    settings: AdminSettings,
    handler: Arc<dyn AdminHandler>,
}

impl AdminService {
    /// Creates a service that passes operators' requests to `handler`.
    pub fn new(settings: AdminSettings, handler: Arc<dyn AdminHandler>) -> Self {
        Self { settings, handler }
    }

    /// Answers one HTTP request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") if self.handler.ready() => plain(StatusCode::OK, "ready\n"),
            (&Method::GET, "/readyz") => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::GET, "/metrics") => plain(StatusCode::OK, self.handler.metrics()),
            _ if !self.allowed(request.headers()) => reply(AdminReply::error(
                StatusCode::UNAUTHORIZED,
                "the operators' token is missing or wrong",
            )),
            (&Method::GET, "/admin/v1/text") => self.show_manifest(),
            (&Method::PUT, "/admin/v1/text") => self.apply_manifest(request).await,
            (&Method::GET, "/admin/v1/status") => reply(self.handler.status().await),
            (&Method::POST, "/admin/v1/drain") => reply(self.handler.drain()),
            (&Method::GET, "/admin/v1/explain") => self.explain(request.uri().query()).await,
            (&Method::GET, "/admin/v1/voters") => reply(self.handler.voters(None).await),
            (&Method::POST, "/admin/v1/voters") => self.change_voters(request).await,
            _ => reply(AdminReply::error(StatusCode::NOT_FOUND, "no such operators' call")),
        }
    }

    fn allowed(&self, headers: &HeaderMap) -> bool {
        let Some(expected) = self.settings.token_hash else {
            return true;
        };
        let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
        blake3::hash(token.as_bytes()) == expected
    }

    fn show_manifest(&self) -> Response<AnswerBody> {
        let Some(manifest) = self.handler.manifest() else {
            let message = "no configuration is in force yet";
            return reply(AdminReply::error(StatusCode::NOT_FOUND, message));
        };
        let mut response = plain(StatusCode::OK, Bytes::from(manifest.source.to_string()));
        if let Ok(tag) = HeaderValue::from_str(&format!("\"{}\"", manifest.revision)) {
            response.headers_mut().insert(header::ETAG, tag);
        }
        response
    }

    async fn apply_manifest(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let bad = |message: &str| reply(AdminReply::error(StatusCode::BAD_REQUEST, message));
        let Some(base) = parse_tag(request.headers().get(header::IF_MATCH)) else {
            let message =
                "the header If-Match must name the revision that the text was edited from";
            return reply(AdminReply::error(StatusCode::PRECONDITION_REQUIRED, message));
        };
        let key = request.headers().get(header_names::IDEMPOTENCY_KEY);
        let Some(key) = key.and_then(|value| value.to_str().ok()).map(Arc::<str>::from) else {
            return bad("the header Idempotency-Key is missing");
        };
        let body = match read_body(request.into_body(), &self.settings.limits).await {
            Ok(body) => body,
            Err(refusal) => {
                return reply(AdminReply::error(refusal.code.status(), &refusal.message));
            }
        };
        let Ok(source) = String::from_utf8(body.to_vec()) else {
            return bad("the text isn't UTF-8");
        };
        match DeploymentManifest::parse(&source) {
            Err(faults) => reply(faults_reply(&faults)),
            Ok(manifest) => {
                reply(self.handler.apply(ApplyRequest { source, manifest, base, key }).await)
            }
        }
    }

    async fn explain(&self, query: Option<&str>) -> Response<AnswerBody> {
        match query.and_then(|query| query.strip_prefix("q=")) {
            Some(subject) if !subject.is_empty() => reply(self.handler.explain(subject).await),
            _ => reply(AdminReply::error(StatusCode::BAD_REQUEST, "the query q=... is missing")),
        }
    }

    async fn change_voters(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let body = match read_body(request.into_body(), &self.settings.limits).await {
            Ok(body) => body,
            Err(refusal) => {
                return reply(AdminReply::error(refusal.code.status(), &refusal.message));
            }
        };
        match serde_json::from_slice::<Value>(&body) {
            Ok(change) => reply(self.handler.voters(Some(change)).await),
            Err(error) => {
                reply(AdminReply::error(StatusCode::BAD_REQUEST, &format!("bad JSON: {error}")))
            }
        }
    }
}

fn parse_tag(value: Option<&HeaderValue>) -> Option<ManifestRevision> {
    let tag = value?.to_str().ok()?.trim().trim_matches('"');
    tag.parse().ok().map(ManifestRevision)
}

fn faults_reply(faults: &[ManifestFault]) -> AdminReply {
    let faults: Vec<Value> = faults
        .iter()
        .map(|fault| {
            json!({
                "line": fault.line,
                "column": fault.column,
                "problem": fault.problem,
                "remedy": fault.remedy,
            })
        })
        .collect();
    let body = json!({ "error": "the text has faults", "faults": faults });
    AdminReply { status: StatusCode::UNPROCESSABLE_ENTITY, body }
}

fn plain(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let text_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text_type);
    response
}

fn reply(reply: AdminReply) -> Response<AnswerBody> {
    let AdminReply { status, body } = reply;
    let mut response = Response::new(full_body(body.to_string()));
    *response.status_mut() = status;
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json_type);
    response
}
