//! Who answers operators.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use serde_json::Value;
use wheel_text::{OperatorsText, ServingText};
use wheel_types::TextRevision;

/// A text that an operator wants accepted.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// The whole text.
    pub source: String,
    /// Its checked form.
    pub text: OperatorsText,
    /// The revision that it was edited from.
    pub base: TextRevision,
    /// The key by which a resend is known.
    pub key: Arc<str>,
}

/// An answer to an operator: a status and a JSON body.
#[derive(Clone, Debug)]
pub struct AdminReply {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The JSON body.
    pub body: Value,
}

impl AdminReply {
    /// A reply of 200 with `body`.
    pub fn ok(body: Value) -> Self {
        Self { status: http::StatusCode::OK, body }
    }

    /// A reply that says in words what went wrong.
    pub fn error(status: http::StatusCode, message: &str) -> Self {
        Self { status, body: serde_json::json!({ "error": message }) }
    }
}

/// Carries out what operators ask of an instance.
pub trait AdminHandler: Send + Sync + 'static {
    /// The text in force here.
    fn text(&self) -> Option<Arc<ServingText>>;
    /// Has a checked text accepted by the group.
    fn apply(&self, request: ApplyRequest) -> BoxFuture<'static, AdminReply>;
    /// What this instance knows of itself and of others.
    fn status(&self) -> BoxFuture<'static, AdminReply>;
    /// Begins a graceful shutdown.
    fn drain(&self) -> AdminReply;
    /// Recorded decisions about a model or a request.
    fn explain(&self, query: &str) -> BoxFuture<'static, AdminReply>;
    /// Lists or changes the group's voters; `None` lists.
    fn voters(&self, change: Option<Value>) -> BoxFuture<'static, AdminReply>;
    /// True once the instance can serve and until it drains.
    fn ready(&self) -> bool;
    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
