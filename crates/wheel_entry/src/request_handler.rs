//! Who serves callers' requests.

use futures_util::future::BoxFuture;

use crate::{CallerAnswer, CallerRequest};

/// Serves a request to its one final answer; a refusal is an answer too.
pub trait RequestHandler: Send + Sync + 'static {
    /// Serves `request`. Dropping the future or the answer's body means that the caller has gone.
    fn serve(&self, request: CallerRequest) -> BoxFuture<'static, CallerAnswer>;
}
