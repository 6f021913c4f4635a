//! What an engine speaks.

use std::borrow::Cow;

use bytes::Bytes;
use http::{HeaderMap, Request};
use serde::Deserialize;
use wheel_types::{EngineOrder, EngineState, LoadReport, OrderReply, RequestId, RequestOutcome};

use crate::{AttemptId, CacheEvents, FailureKind, GenerateCall};

/// The part of a stream's event that tells whose it is and where it belongs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct TokenMark<'a> {
    /// The request that the event belongs to.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// The index of its token.
    pub index: u64,
}

/// Turns calls into an engine's requests and its answers into shared types.
///
/// A real engine's dialect is one type that implements this; [`WheelDialect`](crate::WheelDialect)
/// is the one of `docs/PROTOCOLS.md`. Requests carry a path and headers; the client adds the host.
pub trait EngineDialect: Send + Sync + 'static {
    /// A request that is answered at once by a live engine.
    fn probe(&self) -> Request<Bytes>;

    /// A generation.
    fn generate(
        &self,
        call: &GenerateCall,
        attempt: AttemptId,
    ) -> Result<Request<Bytes>, FailureKind>;

    /// Gives any other request the id that its answer has to repeat.
    fn set_id(&self, headers: &mut HeaderMap, id: &RequestId) -> Result<(), FailureKind>;

    /// The id that an answer carries in its head.
    fn answer_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// The engine's own word on whether it ran the call.
    fn said_outcome(&self, headers: &HeaderMap) -> Option<RequestOutcome>;

    /// Reads the mark of one event of a stream.
    fn token_mark<'a>(&self, event: &'a [u8]) -> Result<TokenMark<'a>, FailureKind>;

    /// Reads the id in the body of an answer that isn't streamed.
    fn whole_id<'a>(&self, body: &'a [u8]) -> Result<Cow<'a, str>, FailureKind>;

    /// Ends one attempt of a request, or all of them.
    fn cancel(
        &self,
        request: &RequestId,
        attempt: Option<AttemptId>,
    ) -> Result<Request<Bytes>, FailureKind>;

    /// An order.
    fn order(&self, order: &EngineOrder) -> Result<Request<Bytes>, FailureKind>;

    /// Reads the answer to an order.
    fn order_reply(&self, body: &[u8]) -> Result<OrderReply, FailureKind>;

    /// Asks for the engine's state.
    fn state(&self) -> Request<Bytes>;

    /// Reads the engine's state.
    fn read_state(&self, body: &[u8]) -> Result<EngineState, FailureKind>;

    /// Asks for the load report.
    fn load(&self) -> Request<Bytes>;

    /// Reads the load report.
    fn read_load(&self, body: &[u8]) -> Result<LoadReport, FailureKind>;

    /// Asks for the cache events after a sequence number.
    fn cache_events(&self, after: u64) -> Result<Request<Bytes>, FailureKind>;

    /// Reads cache events.
    fn read_cache_events(&self, body: &[u8]) -> Result<CacheEvents, FailureKind>;
}
