//! A block of ports that no other process of this machine's tests uses.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::Path;

use snafu::{OptionExt as _, ResultExt as _};

use crate::HarnessError;
use crate::harness_error::{IoSnafu, NoPortSnafu};

/// The first port. The blocks lie below the kernel's ephemeral ports, so that no outgoing connection
/// takes a port between its allocation and its use.
const FIRST_PORT: u16 = 12_000;
/// Number of ports of a block.
const BLOCK_SIZE: u16 = 100;
/// Number of blocks.
const BLOCK_COUNT: u16 = 200;

/// A block of ports, owned by means of a locked file until it is dropped.
#[derive(Debug)]
pub struct PortBlock {
    /// Its lock ends with the process, however that ends.
    _lock: File,
    next: u16,
    end: u16,
}

impl PortBlock {
    /// Claims a block that nobody owns. The lock files lie in `folder`.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if the lock files can't be created, [`HarnessError::NoPort`] if all blocks
    /// have an owner.
    pub fn claim(folder: &Path) -> Result<Self, HarnessError> {
        std::fs::create_dir_all(folder).context(IoSnafu { what: "create the folder of ports" })?;
        for block in 0..BLOCK_COUNT {
            let path = folder.join(format!("{block}.lock"));
            let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
            let lock =
                lock.with_context(|_| IoSnafu { what: format!("open {}", path.display()) })?;
            match lock.try_lock() {
                Ok(()) => {
                    let next = FIRST_PORT + block * BLOCK_SIZE;
                    return Ok(Self { _lock: lock, next, end: next + BLOCK_SIZE });
                }
                Err(TryLockError::WouldBlock) => {}
                Err(TryLockError::Error(source)) => {
                    let what = format!("lock {}", path.display());
                    return Err(HarnessError::Io { what, source });
                }
            }
        }
        NoPortSnafu.fail()
    }

    /// The next port of the block, each once.
    ///
    /// # Errors
    /// [`HarnessError::NoPort`] if none is left.
    pub fn take(&mut self) -> Result<u16, HarnessError> {
        let port = Some(self.next).filter(|port| *port < self.end).context(NoPortSnafu)?;
        self.next += 1;
        Ok(port)
    }
}
