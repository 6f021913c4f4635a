//! Formats of callers' requests and of upstreams' requests and answers.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, StatusCode};

use crate::IngressRequest;

/// What an upstream is told about the team of a request's caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardIdentity {
    /// The configuration has no teams: headers with keys and teams are forwarded like any other.
    Unmanaged,
    /// The route needs no key: these headers are removed.
    Public,
    /// They are removed, and the upstream is told the name of the caller's team.
    Team(Arc<str>),
}

/// What the system adds to a request that it sends to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardHeaders {
    /// Time in which the caller must have its complete answer.
    pub time_left: Duration,
    /// The intended upstream; any other upstream refuses the request.
    pub target: Arc<str>,
    /// Urgency at the engine; 0 is served first.
    pub urgency: Option<u8>,
    /// The event after which the stream resumes.
    pub resume_after: Option<u64>,
    /// The caller's team.
    pub identity: ForwardIdentity,
}

/// How the head of an upstream's answer is classified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerClass {
    /// The request ran, and this is its signed answer.
    Ran,
    /// The upstream states that it didn't run the request.
    NotExecuted,
    /// The upstream didn't run the request because it lacks the model or isn't the intended
    /// upstream.
    Misdirected,
    /// An answer without a signature. As a success, or with a status that promises that the request
    /// hasn't run, it goes to nobody.
    Unsigned,
    /// A success whose body has an encoding that no caller asks for, so that it isn't the body.
    Encoded,
}

/// What an answer says of the limit that its upstream asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    None,
    /// The upstream takes so many requests a second from all instances together.
    PerSecond(f64),
    /// It names a value that can't be read, which is included.
    Malformed(String),
}

/// Decodes callers' requests, sets headers for upstreams and classifies their answers.
pub trait IngressDialect: Send + Sync + 'static {
    /// Decodes the head of a request.
    ///
    /// # Errors
    /// What is wrong with it, as a message for the caller.
    fn decode(&self, head: &Parts) -> Result<IngressRequest, String>;

    /// Replaces the headers in a caller's request that only the system may set.
    fn set_system_headers(&self, headers: &mut HeaderMap, forwarded: &ForwardHeaders);

    /// Whether an answer comes from an upstream other than `intended`.
    fn is_other_upstream(&self, headers: &HeaderMap, intended: &str) -> bool;

    /// Whether an upstream announces in an answer that it leaves.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// The limit on requests that an upstream names in an answer.
    fn named_limit(&self, headers: &HeaderMap) -> NamedLimit;

    /// Whether events of upstreams may have the field `name`, beside those of `text/event-stream`.
    fn is_event_field(&self, name: &str) -> bool;

    /// Classifies an answer by its head.
    fn classify_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerClass;
}
