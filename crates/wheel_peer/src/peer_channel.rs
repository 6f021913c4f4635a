//! The subjects of calls between instances.

use crate::peer_capnp::Channel;

/// Selects the component of an instance that handles a call, and the row of
/// [`PeerCounters`](crate::PeerCounters) that counts it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerChannel {
    /// Messages of the replicated log.
    Agreement,
    /// Revisions of the operators' manifest.
    Manifest,
    /// The lease of a data centre.
    Lease,
    /// Heartbeats.
    Membership,
    /// Claims of calls that must run at most once.
    Claim,
    /// Demand for models that aren't loaded, or for teams' allowances.
    Demand,
    /// Load and state reports.
    Report,
    /// Forwarded operators' calls.
    Admin,
}

impl PeerChannel {
    /// Every channel, in the order of the schema.
    pub const ALL: [Self; 8] = [
        Self::Agreement,
        Self::Manifest,
        Self::Lease,
        Self::Membership,
        Self::Claim,
        Self::Demand,
        Self::Report,
        Self::Admin,
    ];

    /// The name of the channel, used as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Agreement => "agreement",
            Self::Manifest => "text",
            Self::Lease => "lease",
            Self::Membership => "membership",
            Self::Claim => "claim",
            Self::Demand => "demand",
            Self::Report => "report",
            Self::Admin => "admin",
        }
    }

    /// Whether the channel carries the messages by which a quorum works. Instances of the quorum must
    /// get them through while everyone who depends on it calls.
    pub(crate) fn is_quorum(self) -> bool {
        matches!(self, Self::Agreement | Self::Lease)
    }

    /// The index of the channel in [`PeerChannel::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    pub(crate) fn to_wire(self) -> Channel {
        match self {
            Self::Agreement => Channel::Agreement,
            Self::Manifest => Channel::Text,
            Self::Lease => Channel::Lease,
            Self::Membership => Channel::Membership,
            Self::Claim => Channel::Claim,
            Self::Demand => Channel::Demand,
            Self::Report => Channel::Report,
            Self::Admin => Channel::Admin,
        }
    }

    /// The channel with a number of the schema; `None` if only a newer schema knows it.
    pub(crate) fn from_wire(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|channel| channel.to_wire() as u16 == number)
    }
}
