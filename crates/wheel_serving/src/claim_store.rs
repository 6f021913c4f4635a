//! Interface to the claims of calls that must not run twice.

use futures_util::future::BoxFuture;
use snafu::Snafu;
use tokio::time::Instant;
use wheel_agreement::{ClaimAnswer, GroupAction};
use wheel_types::{IncarnationId, InstanceName};

/// Why a claim couldn't be changed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ClaimError {
    /// The group has no reachable majority, so the change was not made and won't be.
    #[snafu(display("the group's majority can't be reached"))]
    Unavailable,
    /// No answer came by the deadline; the change may still be made.
    #[snafu(display("no answer from the group in time"))]
    Unresolved,
}

/// Commits changes of claims through the group.
pub trait ClaimStore: Send + Sync + 'static {
    /// Commits `action`, which concerns a claim, and returns its outcome.
    fn submit(
        &self,
        action: GroupAction,
        deadline: Instant,
    ) -> BoxFuture<'static, Result<ClaimAnswer, ClaimError>>;

    /// Whether that incarnation of an instance is still running, as far as is known here.
    fn is_alive(&self, instance: &InstanceName, incarnation: IncarnationId) -> bool;
}
