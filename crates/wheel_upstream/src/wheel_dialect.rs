//! The engine protocol that `docs/PROTOCOLS.md` describes.

use std::borrow::Cow;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use wheel_types::{EngineOrder, EngineState, LoadReport, OrderReply, RequestId, RequestOutcome};

use crate::{AttemptId, CacheEvents, EngineDialect, FailureKind, GenerateCall, TokenKey};

pub(crate) const REQUEST_ID: &str = "wheel-request-id";
pub(crate) const OUTCOME: &str = "wheel-outcome";
const ATTEMPT_ID: &str = "wheel-attempt-id";
const PRIORITY: &str = "wheel-priority";
const RESUME_FROM: &str = "wheel-resume-from";

const CANCEL_PATH: &str = "/engine/v1/cancel";
const ORDERS_PATH: &str = "/engine/v1/orders";
const STATE_PATH: &str = "/engine/v1/state";
const LOAD_PATH: &str = "/engine/v1/load";
const EVENTS_PATH: &str = "/engine/v1/cache-events";

/// The OpenAI API with this project's headers, token indexes and orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct WheelDialect;

impl EngineDialect for WheelDialect {
    fn probe(&self) -> Request<Bytes> {
        get(LOAD_PATH)
    }

    fn generate(
        &self,
        call: &GenerateCall,
        attempt: AttemptId,
    ) -> Result<Request<Bytes>, FailureKind> {
        let mut request = Request::post(call.path.as_str())
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, call.call.request_id.as_str())
            .header(ATTEMPT_ID, attempt.to_string())
            .header(PRIORITY, u16::from(call.call.rank.0))
            .header(RESUME_FROM, call.call.resume_from)
            .body(call.body.clone())
            .map_err(|error| malformed(&error))?;
        let extra = call.headers.iter().map(|(name, value)| (name.clone(), value.clone()));
        request.headers_mut().extend(extra);
        Ok(request)
    }

    fn set_id(&self, headers: &mut HeaderMap, id: &RequestId) -> Result<(), FailureKind> {
        let id = HeaderValue::from_str(id.as_str()).map_err(|error| malformed(&error))?;
        headers.insert(REQUEST_ID, id);
        Ok(())
    }

    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(REQUEST_ID)?.to_str().ok()
    }

    fn reported_outcome(&self, headers: &HeaderMap) -> Option<RequestOutcome> {
        RequestOutcome::parse(headers.get(OUTCOME)?.to_str().ok()?)
    }

    fn token_key<'a>(&self, event: &'a [u8]) -> Result<TokenKey<'a>, FailureKind> {
        let chunk: TokenChunk<'a> = read(event)?;
        let is_last = chunk.choices.iter().any(|choice| choice.finish_reason.is_some());
        Ok(TokenKey { id: chunk.id, index: chunk.wheel.index, is_last })
    }

    fn body_id<'a>(&self, body: &'a [u8]) -> Result<Cow<'a, str>, FailureKind> {
        read::<BodyHead<'a>>(body).map(|head| head.id)
    }

    fn cancel(
        &self,
        request: &RequestId,
        attempt: Option<AttemptId>,
    ) -> Result<Request<Bytes>, FailureKind> {
        let attempt_id = attempt.map(|attempt| attempt.to_string());
        post(CANCEL_PATH, &CancelBody { request_id: request, attempt_id })
    }

    fn order(&self, order: &EngineOrder) -> Result<Request<Bytes>, FailureKind> {
        post(ORDERS_PATH, order)
    }

    fn order_reply(&self, body: &[u8]) -> Result<OrderReply, FailureKind> {
        read(body)
    }

    fn state(&self) -> Request<Bytes> {
        get(STATE_PATH)
    }

    fn read_state(&self, body: &[u8]) -> Result<EngineState, FailureKind> {
        read(body)
    }

    fn load(&self) -> Request<Bytes> {
        get(LOAD_PATH)
    }

    fn read_load(&self, body: &[u8]) -> Result<LoadReport, FailureKind> {
        read(body)
    }

    fn cache_events(&self, after: u64) -> Result<Request<Bytes>, FailureKind> {
        let uri = format!("{EVENTS_PATH}?after={after}");
        Request::get(uri).body(Bytes::new()).map_err(|error| malformed(&error))
    }

    fn read_cache_events(&self, body: &[u8]) -> Result<CacheEvents, FailureKind> {
        read(body)
    }
}

#[derive(Deserialize)]
struct TokenChunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    wheel: ChunkPosition,
}

#[derive(Deserialize)]
struct ChunkChoice {
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct ChunkPosition {
    index: u64,
}

#[derive(Deserialize)]
struct BodyHead<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
}

#[derive(Serialize)]
struct CancelBody<'a> {
    request_id: &'a RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt_id: Option<String>,
}

fn get(path: &'static str) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(path);
    request
}

fn post(path: &'static str, body: &impl Serialize) -> Result<Request<Bytes>, FailureKind> {
    let body = serde_json::to_vec(body).map_err(|error| malformed(&error))?;
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|error| malformed(&error))
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, FailureKind> {
    serde_json::from_slice(body)
        .map_err(|error| FailureKind::BadAnswer { message: error.to_string() })
}

fn malformed(error: &impl ToString) -> FailureKind {
    FailureKind::Malformed { message: error.to_string() }
}
