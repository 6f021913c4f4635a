//! Cap'n Proto RPC between instances.
//!
//! [`PeerHub::bind`] starts a thread that accepts calls from other instances and makes calls to
//! them; a [`PeerHandler`] answers the accepted calls. Bodies are bytes, which other crates
//! interpret. The two sides of a connection prove to each other that they know the group's
//! [`PeerSecret`]; the messages after that aren't encrypted.

mod admission_table;
mod call_limiter;
mod client_handshake;
mod connection_registry;
mod counter_table;
mod hub_context;
mod hub_worker;
mod metered_half;
mod outgoing_call;
mod peer_address;
#[allow(clippy::all, clippy::restriction, clippy::pedantic, missing_docs, unreachable_pub)]
#[rustfmt::skip]
mod peer_capnp;
mod handshake_transcript;
mod peer_channel;
mod peer_connection;
mod peer_counters;
mod peer_download;
mod peer_error;
mod peer_gate;
mod peer_handler;
mod peer_hub;
mod peer_limits;
mod peer_link;
mod peer_secret;
mod peer_session;
mod peer_settings;
mod peer_upload;
mod stream_monitor;

pub use admission_table::{
    Admission, AdmissionLimits, AdmissionTable, ConnectionClass, ConnectionId,
};
pub use handshake_transcript::PROTOCOL_VERSION;
pub use peer_address::PeerAddress;
pub use peer_channel::PeerChannel;
pub use peer_counters::{ChannelCounters, PeerCounters};
pub use peer_error::PeerError;
pub use peer_handler::{PeerHandler, PeerIdentity, PeerRefusal};
pub use peer_hub::PeerHub;
pub use peer_limits::PeerLimits;
pub use peer_secret::PeerSecret;
pub use peer_settings::PeerSettings;
