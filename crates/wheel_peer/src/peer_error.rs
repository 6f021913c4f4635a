//! Why a call to another instance failed.

use std::net::SocketAddr;

use snafu::Snafu;
use wheel_types::InstanceName;

/// Why a hub couldn't be bound or a call has no answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The listening socket or the hub's thread couldn't be created.
    #[snafu(display("can't listen on {address}: {reason}"))]
    Bind {
        /// The address in the settings.
        address: SocketAddr,
        /// The error of the system.
        reason: String,
    },
    /// Without a secret only loopback addresses are allowed.
    #[snafu(display("{address} isn't a loopback address and no peer secret is set"))]
    NoSecret {
        /// The rejected address.
        address: SocketAddr,
    },
    /// No connection could be made; calls fail at once until the next attempt is due.
    #[snafu(display("{address} can't be reached: {reason}"))]
    Unreachable {
        /// The peer's address.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The peer belongs to another group.
    #[snafu(display("the peer belongs to group {theirs:?}"))]
    WrongGroup {
        /// The peer's group.
        theirs: String,
    },
    /// The peer uses another version of the protocol.
    #[snafu(display("the peer uses version {theirs} of the protocol"))]
    WrongVersion {
        /// The peer's version.
        theirs: u32,
    },
    /// The two sides don't have the same secret.
    #[snafu(display("the peer has a different secret"))]
    WrongSecret,
    /// Another instance answers at the address.
    #[snafu(display("expected instance {expected}, but {found} answered"))]
    WrongInstance {
        /// The expected instance.
        expected: InstanceName,
        /// The instance that answered.
        found: InstanceName,
    },
    /// The peer's handler refused the call.
    #[snafu(display("the peer refused the call: {reason}"))]
    Refused {
        /// Its reason.
        reason: String,
    },
    /// A limit of this side or of the peer is reached; the call didn't run.
    #[snafu(display("too many calls in progress"))]
    Overloaded,
    /// The body is larger than the limit; the call didn't run.
    #[snafu(display("a body of {size} bytes exceeds the limit of {limit}"))]
    TooLarge {
        /// Size of the body in bytes.
        size: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The peer doesn't know the channel; the call didn't run.
    #[snafu(display("the peer doesn't know the channel"))]
    UnknownChannel,
    /// There was no answer in time.
    #[snafu(display("no answer in time"))]
    TimedOut {
        /// Whether the call may have run.
        sent: bool,
    },
    /// The connection was lost, or closed as silent, before the answer arrived.
    #[snafu(display("the connection was lost"))]
    Lost {
        /// Whether the call may have run.
        sent: bool,
    },
    /// The peer's handler panicked; the call may have run in part.
    #[snafu(display("the peer's handler failed"))]
    HandlerFailed,
    /// This side or the peer is shutting down; the call didn't run.
    #[snafu(display("shutting down"))]
    ShuttingDown,
}

impl PeerError {
    /// Whether the call may have reached the peer's handler.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::TimedOut { sent } | Self::Lost { sent } => *sent,
            Self::HandlerFailed => true,
            _ => false,
        }
    }
}
