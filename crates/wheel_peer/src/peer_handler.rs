//! The handler of calls from other instances.

use std::fmt;

use futures_util::future::BoxFuture;
use wheel_types::{IncarnationId, InstanceName};

use crate::PeerChannel;

/// The calling instance, as authenticated by the handshake.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PeerIdentity {
    /// The calling instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}

/// Why a handler refuses a call. The caller gets it as
/// [`PeerError::Refused`](crate::PeerError::Refused).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerRefusal {
    /// The reason; truncated to 1,024 bytes when it is sent.
    pub reason: String,
}

impl PeerRefusal {
    /// A refusal with a reason.
    pub fn new(reason: impl Into<String>) -> Self {
        Self { reason: reason.into() }
    }
}

impl fmt::Display for PeerRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for PeerRefusal {}

/// Answers calls. The futures run concurrently on the runtime of
/// [`PeerSettings`](crate::PeerSettings), and run to completion even if the caller has
/// disconnected.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one call.
    ///
    /// # Errors
    /// [`PeerRefusal`] if the call isn't accepted.
    fn handle(
        &self,
        peer: PeerIdentity,
        channel: PeerChannel,
        body: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>>;
}
