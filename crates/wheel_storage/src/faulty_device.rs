//! A disk with faults that are set in a file.

use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::thread::sleep;

use wheel_seams::FaultFile;

use crate::held_changes::HeldChanges;
use crate::{DiskFault, LocalDevice, StorageDevice};

/// Environment variable with the path of the fault file, which replaces the one beside the folder.
const DISK_VARIABLE: &str = "WISTERIAWHEEL_DISK_FAULTS";
/// Error numbers of Linux.
const EIO: i32 = 5;
const ENOSPC: i32 = 28;
/// Extension of the file beside the data folder.
const EXTENSION: &str = "disk-faults";

/// The local file system with the faults of a [`DiskFault`] file.
///
/// Changes that an [`Unsynced`](DiskFault::Unsynced) disk holds back are lost when this value is
/// dropped, as in a power failure, unless a sync after the end of the fault applies them.
#[derive(Debug)]
pub struct FaultyDevice {
    faults: FaultFile<DiskFault>,
    held: HeldChanges,
}

impl FaultyDevice {
    /// A disk with the faults that the file at `path` sets.
    pub fn open(path: PathBuf) -> Self {
        Self { faults: FaultFile::open(path), held: HeldChanges::default() }
    }

    /// A disk whose fault file is named by the environment, otherwise `FOLDER.disk-faults`.
    pub fn for_folder(folder: &Path) -> Self {
        let mut path = folder.as_os_str().to_owned();
        path.push(".");
        path.push(EXTENSION);
        Self::open(std::env::var_os(DISK_VARIABLE).unwrap_or(path).into())
    }

    /// The current fault, or the error of the operation if every operation fails.
    fn current_fault(&mut self) -> io::Result<DiskFault> {
        match *self.faults.refresh() {
            DiskFault::Failing => Err(io::Error::from_raw_os_error(EIO)),
            fault => Ok(fault),
        }
    }

    /// Like [`FaultyDevice::current_fault`], after the time for which the disk is stalled.
    fn wait_while_stalled(&mut self) -> io::Result<DiskFault> {
        let fault = self.current_fault()?;
        if let DiskFault::Stalled { stall } = fault {
            sleep(stall.saturating_sub(self.faults.changed_at().elapsed()));
        }
        Ok(fault)
    }

    /// Whether a rename or removal has to be held back.
    fn defers_renames(&mut self) -> io::Result<bool> {
        let fault = self.wait_while_stalled()?;
        Ok(matches!(fault, DiskFault::Unsynced { .. }) || !self.held.is_empty())
    }

    /// Waits as long as a sync takes and applies held changes; false if the sync is only simulated.
    fn begin_sync(&mut self) -> io::Result<bool> {
        match self.wait_while_stalled()? {
            DiskFault::Unsynced { .. } => return Ok(false),
            DiskFault::Slow { sync } => sleep(sync),
            DiskFault::None | DiskFault::Stalled { .. } | DiskFault::Full | DiskFault::Failing => {}
        }
        self.held.apply_all()?;
        Ok(true)
    }
}

impl StorageDevice for FaultyDevice {
    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        self.current_fault()?;
        self.held.read(path)
    }

    fn list(&mut self, folder: &Path) -> io::Result<Vec<String>> {
        self.current_fault()?;
        Ok(self.held.list(folder, LocalDevice.list(folder)?))
    }

    fn open(&mut self, path: &Path) -> io::Result<File> {
        self.current_fault()?;
        LocalDevice.open(path)
    }

    fn create(&mut self, path: &Path) -> io::Result<File> {
        match self.defers_renames()? {
            true => self.held.create(path),
            false => LocalDevice.create(path),
        }
    }

    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        match self.wait_while_stalled()? {
            DiskFault::Full => Err(io::Error::from_raw_os_error(ENOSPC)),
            DiskFault::Unsynced { torn_bytes } if self.held.is_empty() => {
                let (torn, rest) = bytes.split_at(torn_bytes.min(bytes.len()));
                file.write_all(torn)?;
                self.held.write(file, rest)
            }
            _ if self.held.is_empty() => file.write_all(bytes),
            _ => self.held.write(file, bytes),
        }
    }

    fn truncate(&mut self, file: &mut File, size: u64) -> io::Result<()> {
        self.wait_while_stalled()?;
        self.held.truncate(file, size)?;
        if size < file.metadata()?.len() {
            file.set_len(size)?;
        }
        file.seek(SeekFrom::End(0)).map(drop)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        match self.begin_sync()? {
            true => LocalDevice.sync(file),
            false => Ok(()),
        }
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        match self.defers_renames()? {
            true => self.held.rename(from, to),
            false => LocalDevice.rename(from, to)?,
        }
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        match self.defers_renames()? {
            true => self.held.remove(path),
            false => LocalDevice.remove(path)?,
        }
        Ok(())
    }

    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        match self.begin_sync()? {
            true => LocalDevice.sync_folder(folder),
            false => Ok(()),
        }
    }
}
