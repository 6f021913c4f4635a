//! Determines the caller of a request and the service and rank under which it runs.

use std::time::Duration;

use http::{HeaderMap, Method, header};
use tokio::time::Instant;
use wheel_manifest::{ActiveManifest, CallerIdentity, ServiceSpec};
use wheel_types::{AdapterName, CallerName, ModelName, RequestRank};

use crate::generate_body::GenerateBody;
use crate::{RefusalCode, RequestRefusal, header_names};

/// The longest deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Separates the model from the adapter in the `model` field.
const ADAPTER_SEPARATOR: char = ':';

/// The rank and deadline of a request, as determined by its service.
pub(crate) struct ResolvedService {
    pub(crate) rank: RequestRank,
    pub(crate) deadline: Instant,
}

/// The model and adapter that a generation request names.
pub(crate) struct ResolvedModel {
    pub(crate) model: ModelName,
    pub(crate) adapter: Option<AdapterName>,
    pub(crate) stream: bool,
}

/// Resolves requests against one revision of the manifest.
pub(crate) struct CallerResolver<'a> {
    pub(crate) manifest: &'a ActiveManifest,
}

impl<'a> CallerResolver<'a> {
    /// Identifies the caller by header or bearer token, as the manifest configures.
    pub(crate) fn caller(&self, headers: &HeaderMap) -> Result<CallerName, RequestRefusal> {
        let refused = |message: &str| RequestRefusal::new(RefusalCode::UnknownCaller, message);
        match &self.manifest.manifest.identity {
            CallerIdentity::Header { name } => {
                let value = headers.get(name).and_then(|value| value.to_str().ok());
                let value =
                    value.ok_or_else(|| refused("the header that names the caller is missing"))?;
                let spec =
                    self.manifest.index.caller(value).ok_or_else(|| refused("unknown caller"))?;
                Ok(spec.name.clone())
            }
            CallerIdentity::Bearer => {
                let value = headers.get(header::AUTHORIZATION);
                let value = value.and_then(|value| value.to_str().ok());
                let token = value.and_then(|value| value.strip_prefix("Bearer "));
                let token = token.ok_or_else(|| refused("the bearer token is missing"))?;
                // Looked up by hash, so that the timing reveals nothing about the token.
                let hash = blake3::hash(token.as_bytes()).to_hex();
                let spec = self.manifest.index.caller_of_token(&hash);
                Ok(spec.ok_or_else(|| refused("unknown bearer token"))?.name.clone())
            }
        }
    }

    /// Resolves the model field of a generation request.
    pub(crate) fn model(&self, body: &[u8]) -> Result<ResolvedModel, RequestRefusal> {
        let body: GenerateBody = serde_json::from_slice(body).map_err(|error| {
            let message = format!("the body isn't a generation request: {error}");
            RequestRefusal::new(RefusalCode::BadRequest, message)
        })?;
        let index = &self.manifest.index;
        let unknown = || {
            let message = format!("no model is named {:?}", body.model);
            RequestRefusal::new(RefusalCode::NotFound, message)
        };
        let model = body.model.split_once(ADAPTER_SEPARATOR).map(|(model, _)| model);
        let adapter = match model {
            None => None,
            Some(_) => Some(index.adapter(&body.model).ok_or_else(unknown)?.name.clone()),
        };
        let spec = index.model(model.unwrap_or(&body.model)).ok_or_else(unknown)?;
        Ok(ResolvedModel { model: spec.name.clone(), adapter, stream: body.stream })
    }

    /// Chooses the service of a generation request: the first one that has the model or adapter and
    /// that the caller may use.
    pub(crate) fn generate_service(
        &self,
        caller: &CallerName,
        resolved: &ResolvedModel,
    ) -> Result<&'a ServiceSpec, RequestRefusal> {
        let index = &self.manifest.index;
        let found = match &resolved.adapter {
            Some(adapter) => {
                index.services_of_adapter(adapter.as_str()).find(|service| may_use(service, caller))
            }
            None => {
                index.services_of(resolved.model.as_str()).find(|service| may_use(service, caller))
            }
        };
        found.ok_or_else(|| {
            let message = format!("caller {caller} may not use model {}", resolved.model);
            RequestRefusal::new(RefusalCode::Forbidden, message)
        })
    }

    /// Chooses the plain service at `path`.
    pub(crate) fn plain_service(
        &self,
        caller: &CallerName,
        path: &str,
    ) -> Result<&'a ServiceSpec, RequestRefusal> {
        let spec = self.manifest.index.service_at(path).ok_or_else(|| {
            RequestRefusal::new(RefusalCode::NotFound, format!("no service is at {path:?}"))
        })?;
        match may_use(spec, caller) {
            true => Ok(spec),
            false => {
                let message = format!("caller {caller} may not use service {}", spec.name);
                Err(RequestRefusal::new(RefusalCode::Forbidden, message))
            }
        }
    }

    /// Determines rank and deadline.
    pub(crate) fn resolve_service(
        &self,
        spec: &ServiceSpec,
        headers: &HeaderMap,
        arrival: Instant,
    ) -> Result<ResolvedService, RequestRefusal> {
        let index = &self.manifest.index;
        let rank = index.rank(&spec.rank);
        let found = rank.and_then(|rank| Some((rank, index.rank_spec(rank)?)));
        let (rank, rank_spec) = found.ok_or_else(|| {
            let message = format!("service {} names an unknown rank", spec.name);
            RequestRefusal::new(RefusalCode::Unavailable, message)
        })?;
        let span = match headers.get(header_names::DEADLINE_MS) {
            None => Duration::from_millis(rank_spec.deadline_ms),
            Some(value) => parse_deadline(value)?,
        };
        Ok(ResolvedService { rank, deadline: arrival + span.min(MAX_DEADLINE) })
    }
}

fn may_use(service: &ServiceSpec, caller: &CallerName) -> bool {
    service.callers.is_empty() || service.callers.contains(caller)
}

fn parse_deadline(value: &http::HeaderValue) -> Result<Duration, RequestRefusal> {
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis {
        Some(millis) if millis > 0 => Ok(Duration::from_millis(millis)),
        _ => Err(RequestRefusal::new(
            RefusalCode::BadRequest,
            "the header wheel-deadline-ms isn't a positive whole number of milliseconds",
        )),
    }
}

/// Whether HTTP defines the method as safe to repeat.
pub(crate) fn is_safe_method(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}
