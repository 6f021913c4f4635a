//! What callers and upstreams speak.

use std::sync::Arc;
use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, StatusCode};

use crate::IngressRequest;

/// What the system tells an upstream with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendMark {
    /// Time until the caller has to have its whole answer.
    pub time_left: Duration,
    /// The upstream that is meant; another one refuses.
    pub target: Arc<str>,
    /// Urgency at the engine; 0 goes first.
    pub urgency: Option<u8>,
    /// Go on after this event.
    pub resume_after: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerMark {
    /// It ran, and this is its signed answer.
    Ran,
    /// The upstream didn't run it, and says so.
    NotExecuted,
    /// As before, because it doesn't hold what was asked for or is another upstream.
    Misdirected,
    /// A success without a signature, which nobody may take for one.
    Unsigned,
}

/// Reads callers' requests and marks what is sent on.
pub trait IngressDialect: Send + Sync + 'static {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// What is wrong with it, in words for the caller.
    fn decode(&self, head: &Parts) -> Result<IngressRequest, String>;

    /// Replaces, in a caller's headers, what the system sets itself.
    fn mark(&self, headers: &mut HeaderMap, mark: &SendMark);

    /// Whether an answer comes from another upstream than `meant`.
    fn is_other_upstream(&self, headers: &HeaderMap, meant: &str) -> bool;

    /// Reads what an answer's head says.
    fn answer_mark(&self, status: StatusCode, headers: &HeaderMap) -> AnswerMark;
}
