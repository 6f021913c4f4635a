//! The protocol of an engine.

use std::borrow::Cow;

use bytes::Bytes;
use http::{HeaderMap, Request};
use serde::Deserialize;
use wheel_types::{EngineOrder, EngineState, LoadReport, OrderReply, RequestId, RequestOutcome};

use crate::{AttemptId, CacheEvents, FailureKind, GenerateCall};

/// Identifies the token that an event of a stream carries.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct TokenKey<'a> {
    /// The request that the event belongs to.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The index of the token.
    pub index: u64,
    /// Whether it is the last token of its request.
    pub is_last: bool,
}

/// Builds the HTTP requests of an engine and parses its answers into shared types.
///
/// Each kind of engine has one implementation; [`WheelDialect`](crate::WheelDialect) is the one of
/// `docs/PROTOCOLS.md`. Requests carry a path and headers; the client adds the host.
pub trait EngineDialect: Send + Sync + 'static {
    /// A request that a live engine answers at once; its id is set by [`EngineDialect::set_id`].
    fn probe(&self) -> Request<Bytes>;

    /// The request of a generation.
    fn generate(
        &self,
        call: &GenerateCall,
        attempt: AttemptId,
    ) -> Result<Request<Bytes>, FailureKind>;

    /// Sets the id that the answer to any other request has to repeat.
    fn set_id(&self, headers: &mut HeaderMap, id: &RequestId) -> Result<(), FailureKind>;

    /// The id in the head of an answer.
    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Whether the engine ran the call, as reported by its answer.
    fn reported_outcome(&self, headers: &HeaderMap) -> Option<RequestOutcome>;

    /// Reads which token one event of a stream carries.
    fn token_key<'a>(&self, event: &'a [u8]) -> Result<TokenKey<'a>, FailureKind>;

    /// Reads the id in the body of an answer that isn't streamed.
    fn body_id<'a>(&self, body: &'a [u8]) -> Result<Cow<'a, str>, FailureKind>;

    /// The request that ends one attempt of a request, or all of them.
    fn cancel(
        &self,
        request: &RequestId,
        attempt: Option<AttemptId>,
    ) -> Result<Request<Bytes>, FailureKind>;

    /// The request of an order.
    fn order(&self, order: &EngineOrder) -> Result<Request<Bytes>, FailureKind>;

    /// Reads the answer to an order.
    fn order_reply(&self, body: &[u8]) -> Result<OrderReply, FailureKind>;

    /// The request for the engine's state.
    fn state(&self) -> Request<Bytes>;

    /// Reads the engine's state.
    fn read_state(&self, body: &[u8]) -> Result<EngineState, FailureKind>;

    /// The request for the load report.
    fn load(&self) -> Request<Bytes>;

    /// Reads the load report.
    fn read_load(&self, body: &[u8]) -> Result<LoadReport, FailureKind>;

    /// The request for the cache events that follow a sequence number.
    fn cache_events(&self, after: u64) -> Result<Request<Bytes>, FailureKind>;

    /// Reads cache events.
    fn read_cache_events(&self, body: &[u8]) -> Result<CacheEvents, FailureKind>;
}
