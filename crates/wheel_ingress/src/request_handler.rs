//! The interface that serves callers' requests.

use futures_util::future::BoxFuture;

use crate::{CallerAnswer, CallerRequest};

/// Produces the final answer to a request; refusals are answers too.
pub trait RequestHandler: Send + Sync + 'static {
    /// Serves `request`. The future or the answer's body is dropped when the caller disconnects.
    fn serve(&self, request: CallerRequest) -> BoxFuture<'static, CallerAnswer>;
}
