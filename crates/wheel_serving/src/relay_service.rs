//! Accepts requests that other ingress instances relay to this owner.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::uri::PathAndQuery;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use wheel_ingress::{
    AnswerBody, AnswerError, DrainDeadline, HttpLimits, empty_body, full_body, header_names,
    read_body,
};
use wheel_types::{LoadReport, RequestId, RequestOutcome};
use wheel_upstream::{GeneratePath, StreamEvent};

use crate::owned_answer::{OwnedAnswer, OwnedPlain, OwnedStream};
use crate::relay_headers::{RELAY, read_relay_call};
use crate::relay_refusal::{RelayCode, RelayRefusal, until_drained};
use crate::{OwnerTable, RelayCall, RelayKey};

/// The path that clients use to probe a connection.
const PROBE_PATH: &str = "/engine/v1/load";
/// The path that clients use to cancel; dropping the connection has cancelled the call already.
const CANCEL_PATH: &str = "/engine/v1/cancel";

/// The relay endpoint of an owner. It speaks the protocols of an engine and of a plain service.
#[derive(Clone)]
pub struct RelayService {
    owners: Arc<OwnerTable>,
    key: Option<RelayKey>,
    limits: HttpLimits,
    drain: DrainDeadline,
}

impl RelayService {
    /// Serves the upstreams of `owners` until `drain` ends.
    pub fn new(
        owners: Arc<OwnerTable>,
        key: Option<RelayKey>,
        limits: HttpLimits,
        drain: DrainDeadline,
    ) -> Self {
        Self { owners, key, limits, drain }
    }

    /// Answers one HTTP request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let id = request.headers().get(header_names::REQUEST_ID).cloned();
        // A relayed call of a service may have any path.
        let is_relayed = request.headers().contains_key(RELAY);
        let mut response = match (request.method(), request.uri().path()) {
            (&Method::GET, PROBE_PATH) if !is_relayed => probe_answer(),
            (&Method::POST, CANCEL_PATH) if !is_relayed => Response::new(empty_body()),
            _ => self.relay(request).await,
        };
        // Clients reject an answer that doesn't repeat the id of their call.
        if let Some(id) = id {
            response.headers_mut().insert(header_names::REQUEST_ID, id);
        }
        response
    }

    async fn relay(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let Some(call) = read_relay_call(request.headers(), self.key.as_ref()) else {
            let refusal = RelayRefusal::elsewhere("not a relayed call of this group");
            let mut response = refusal.into_response();
            *response.status_mut() = StatusCode::FORBIDDEN;
            return response;
        };
        match self.relay_call(call, request).await {
            Ok(response) => response,
            Err(refusal) => refusal.into_response(),
        }
    }

    async fn relay_call(
        &self,
        call: RelayCall,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RelayRefusal> {
        let upstream = self
            .owners
            .get(&call.upstream)
            .ok_or_else(|| RelayRefusal::elsewhere("this instance doesn't own the upstream"))?;
        let (parts, body) = request.into_parts();
        let body = tokio::select! {
            biased;
            body = read_body(body, &self.limits) => body.map_err(RelayRefusal::from)?,
            () = self.drain.passed() => return Err(RelayRefusal::elsewhere("the owner ends")),
        };
        if call.model.is_some() {
            let path = generate_path(parts.uri.path())?;
            let answer = upstream.generate(&call, path, call.stream, body);
            let answer = until_drained(&self.drain, answer).await?;
            return Ok(generate_response(&call.request_id, answer));
        }
        let path = parts.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let answer = upstream.call_service(&call, parts.method, path, parts.headers, body);
        let answer = until_drained(&self.drain, answer).await?;
        Ok(plain_response(&call.request_id, answer))
    }
}

fn probe_answer() -> Response<AnswerBody> {
    let body = serde_json::to_vec(&LoadReport::default()).unwrap_or_default();
    Response::new(full_body(body))
}

fn generate_path(path: &str) -> Result<GeneratePath, RelayRefusal> {
    match path {
        "/v1/chat/completions" => Ok(GeneratePath::ChatCompletions),
        "/v1/completions" => Ok(GeneratePath::Completions),
        _ => Err(RelayRefusal {
            code: RelayCode::BadRequest,
            ..RelayRefusal::elsewhere("not a path of generation")
        }),
    }
}

fn generate_response(id: &RequestId, answer: OwnedAnswer) -> Response<AnswerBody> {
    let (content_type, body) = match answer {
        OwnedAnswer::Whole(whole) => ("application/json", full_body(whole.body)),
        OwnedAnswer::Stream(stream) => ("text/event-stream", stream_body(stream)),
    };
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    set_relay_headers(&mut response, id, RequestOutcome::Ran);
    response
}

fn plain_response(id: &RequestId, plain: OwnedPlain) -> Response<AnswerBody> {
    let OwnedPlain { answer, slot } = plain;
    let (status, outcome, headers) = (answer.status, answer.outcome, answer.headers);
    let pieces = stream::try_unfold((answer.body, slot), |(mut body, mut slot)| async move {
        slot.record_first_byte();
        match body.next().await {
            Ok(Some(piece)) => Ok(Some((Frame::data(piece), (body, slot)))),
            Ok(None) => Ok(None),
            Err(failure) => Err(AnswerError::BrokeOff { reason: failure.to_string() }),
        }
    });
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    set_relay_headers(&mut response, id, outcome);
    response
}

fn set_relay_headers(response: &mut Response<AnswerBody>, id: &RequestId, outcome: RequestOutcome) {
    let headers = response.headers_mut();
    headers.insert(header_names::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(id) = HeaderValue::from_str(id.as_str()) {
        headers.insert(header_names::REQUEST_ID, id);
    }
}

/// Forwards the engine's events; a broken stream breaks the body, so that the ingress resumes it.
fn stream_body(stream: Box<OwnedStream>) -> AnswerBody {
    let events = stream::try_unfold(Some(stream), |stream| async move {
        let Some(mut stream) = stream else { return Ok(None) };
        match stream.next().await {
            Ok(StreamEvent::Token(token)) => Ok(Some((event_frame(&token.data), Some(stream)))),
            Ok(StreamEvent::End) => Ok(Some((done_frame(), None))),
            Err(failure) => Err(AnswerError::BrokeOff { reason: failure.to_string() }),
        }
    });
    StreamBody::new(events).boxed_unsync()
}

/// One server-sent event.
pub(crate) fn event_frame(data: &[u8]) -> Frame<Bytes> {
    const PREFIX: &[u8] = b"data: ";
    const SUFFIX: &[u8] = b"\n\n";
    Frame::data([PREFIX, data, SUFFIX].concat().into())
}

/// The event that ends a stream.
pub(crate) fn done_frame() -> Frame<Bytes> {
    event_frame(b"[DONE]")
}
