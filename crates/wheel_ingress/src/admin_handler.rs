//! The interface between the admin API and the instance.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use serde_json::Value;
use wheel_manifest::{ActiveManifest, DeploymentManifest};
use wheel_types::ManifestRevision;

/// A manifest that an operator submits for acceptance.
#[derive(Clone, Debug)]
pub struct ApplyRequest {
    /// The manifest's source.
    pub source: String,
    /// Its checked form.
    pub manifest: DeploymentManifest,
    /// The revision that it is based on.
    pub base: ManifestRevision,
    /// The idempotency key by which a retry is recognized.
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
    /// A reply with status 200 and `body`.
    pub fn ok(body: Value) -> Self {
        Self { status: http::StatusCode::OK, body }
    }

    /// A reply with an error message.
    pub fn error(status: http::StatusCode, message: &str) -> Self {
        Self { status, body: serde_json::json!({ "error": message }) }
    }
}

/// Carries out operators' requests to an instance.
pub trait AdminHandler: Send + Sync + 'static {
    /// The manifest in force at this instance.
    fn manifest(&self) -> Option<Arc<ActiveManifest>>;
    /// Submits a checked manifest to the group.
    fn apply(&self, request: ApplyRequest) -> BoxFuture<'static, AdminReply>;
    /// The state of this instance and of others, as known here.
    fn status(&self) -> BoxFuture<'static, AdminReply>;
    /// Starts a graceful shutdown.
    fn drain(&self) -> AdminReply;
    /// Recorded decisions about a model or a request.
    fn explain(&self, query: &str) -> BoxFuture<'static, AdminReply>;
    /// Lists the group's voters, or applies `change` to them.
    fn voters(&self, change: Option<Value>) -> BoxFuture<'static, AdminReply>;
    /// True from the time the instance can serve until it drains.
    fn ready(&self) -> bool;
    /// Metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
