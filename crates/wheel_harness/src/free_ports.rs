//! Allocation of unused ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::HarnessError;

/// The first port that is handed out. The range lies below the kernel's ephemeral ports, so that no
/// outgoing connection takes a port between its allocation and its use.
const FIRST_PORT: u16 = 20_000;
/// Size of the port range.
const PORT_COUNT: u16 = 12_000;
/// Distance between the start ports of consecutive process ids, so that processes that run at the
/// same time try different ports.
const PROCESS_STRIDE: u32 = 769;

/// Number of ports that this process has tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Hands out free loopback ports, each at most once per process.
#[derive(Debug, Default)]
pub struct FreePorts;

impl FreePorts {
    /// Returns the address of a port that is currently free.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if no port is free.
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
