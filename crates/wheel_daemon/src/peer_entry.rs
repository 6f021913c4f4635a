//! An instance as listed in the settings.

use std::net::SocketAddr;
use std::str::FromStr;

use wheel_types::{CentreName, InstanceName};

/// One item of `--peers`: `NAME@CENTRE=PEER/RELAY`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// The instance.
    pub instance: InstanceName,
    /// Its data centre.
    pub centre: CentreName,
    /// Its peer address.
    pub peer: SocketAddr,
    /// Its relay address.
    pub relay: SocketAddr,
}

impl FromStr for PeerEntry {
    type Err = String;

    fn from_str(item: &str) -> Result<Self, String> {
        let shape = || format!("{item:?} isn't NAME@CENTRE=PEER/RELAY");
        let (names, addresses) = item.split_once('=').ok_or_else(shape)?;
        let (instance, centre) = names.split_once('@').ok_or_else(shape)?;
        let (peer, relay) = addresses.split_once('/').ok_or_else(shape)?;
        let address = |text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("{text:?} isn't ADDR:PORT in {item:?}"))
        };
        if instance.is_empty() || centre.is_empty() {
            return Err(shape());
        }
        Ok(Self {
            instance: instance.into(),
            centre: centre.into(),
            peer: address(peer)?,
            relay: address(relay)?,
        })
    }
}
