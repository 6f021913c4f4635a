//! Ports that nobody uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::HarnessError;

/// The first port that is handed out. The range lies below the one from which the kernel takes the
/// near ends of connections, so that no connection takes a port between its choice and its use.
const FIRST_PORT: u16 = 20_000;
/// How many ports there are to choose from.
const PORT_COUNT: u16 = 12_000;
/// Spreads processes that run at the same time.
const PROCESS_STRIDE: u32 = 769;

/// How many ports this process has tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Hands out free ports of the loopback address, each once in the life of this process.
#[derive(Debug, Default)]
pub struct FreePorts;

impl FreePorts {
    /// Takes a port that is free now.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if there is none.
    pub fn take(&mut self) -> Result<SocketAddr, HarnessError> {
        let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORT_COUNT);
        for _ in 0..PORT_COUNT {
            let step = u32::from(TRIED.fetch_add(1, Ordering::Relaxed));
            let offset = (start + step) % u32::from(PORT_COUNT);
            let port = FIRST_PORT + offset as u16;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        let source = std::io::ErrorKind::AddrInUse.into();
        Err(HarnessError::Io { what: "find a free port".to_owned(), source })
    }
}
