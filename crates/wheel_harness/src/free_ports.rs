//! Allocation of unused ports.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Mutex;

use crate::{HarnessError, PortBlock};

/// The blocks that this process owns, and keeps until it ends.
static BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// Hands out free loopback ports, each at most once per process.
///
/// Whether a port is free is tested by a connection, not by listening: a child that another thread
/// has just forked would keep that listener open until it executes its program.
#[derive(Debug, Default)]
pub struct FreePorts;

impl FreePorts {
    /// Returns the address of a port that nobody listens on.
    ///
    /// # Errors
    /// [`HarnessError::NoPort`] if no port is free, [`HarnessError::Io`] if the lock files of the
    /// ports can't be used.
    pub fn take(&mut self) -> Result<SocketAddr, HarnessError> {
        let mut blocks = BLOCKS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        loop {
            let port = match blocks.last_mut().map(PortBlock::take) {
                Some(Ok(port)) => port,
                _ => {
                    let folder = std::env::temp_dir().join("wisteriawheel-ports");
                    blocks.push(PortBlock::claim(&folder)?);
                    continue;
                }
            };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpStream::connect(address).is_err() {
                return Ok(address);
            }
        }
    }
}
