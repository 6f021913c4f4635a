//! The file operations of the store, which tests replace to inject failures.

use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::Path;

/// Performs all file operations of [`LogStore`](crate::LogStore) on log and snapshot.
pub trait StorageDevice: Send {
    /// The whole content of a file.
    fn read(&mut self, path: &Path) -> io::Result<Vec<u8>> {
        std::fs::read(path)
    }

    /// The file names in a folder; names that aren't UTF-8 are skipped.
    fn list(&mut self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    /// Opens an existing file for writing, positioned at its end.
    fn open(&mut self, path: &Path) -> io::Result<File> {
        let mut file = OpenOptions::new().write(true).open(path)?;
        file.seek(SeekFrom::End(0))?;
        Ok(file)
    }

    /// Creates a file, or truncates an existing one to zero bytes.
    fn create(&mut self, path: &Path) -> io::Result<File> {
        File::create(path)
    }

    /// Writes all of `bytes` at the position of the file, which is its end.
    fn write(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    /// Truncates a file to `size` bytes and moves to its end.
    fn truncate(&mut self, file: &mut File, size: u64) -> io::Result<()> {
        file.set_len(size)?;
        file.seek(SeekFrom::Start(size)).map(drop)
    }

    /// Returns once everything written to `file` is on stable storage.
    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    /// Renames a file, replacing an existing one.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    /// Removes a file.
    fn remove(&mut self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    /// Returns once the names in `folder` are on stable storage.
    fn sync_folder(&mut self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_data()
    }
}

/// The local file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDevice;

impl StorageDevice for LocalDevice {}

/// The device of a folder that is opened without a given one.
pub(crate) fn default_device(folder: &Path) -> Box<dyn StorageDevice> {
    #[cfg(feature = "fault-injection")]
    return Box::new(crate::FaultyDevice::for_folder(folder));
    #[cfg(not(feature = "fault-injection"))]
    {
        let _ = folder;
        Box::new(LocalDevice)
    }
}
