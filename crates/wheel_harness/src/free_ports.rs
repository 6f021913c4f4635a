//! Ports that nobody uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use snafu::ResultExt;

use crate::HarnessError;
use crate::harness_error::IoSnafu;

/// Hands out free ports of the loopback address.
///
/// The ports are held until all are taken, so that none is handed out twice. Between the release
/// and the use another process may take one; the kernel's ports go round slowly enough for tests.
#[derive(Debug, Default)]
pub struct FreePorts {
    held: Vec<TcpListener>,
}

impl FreePorts {
    /// Takes a port that is free now.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if there is none.
    pub fn take(&mut self) -> Result<SocketAddr, HarnessError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let listener = listener.context(IoSnafu { what: "find a free port" })?;
        let address = listener.local_addr().context(IoSnafu { what: "read a port" })?;
        self.held.push(listener);
        Ok(address)
    }
}
