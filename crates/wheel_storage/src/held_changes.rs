//! Changes that a disk accepted but hasn't applied.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// One change that is held only in the memory of the process.
#[derive(Debug)]
enum HeldChange {
    Write { file: File, inode: u64, bytes: Vec<u8> },
    Rename { from: PathBuf, to: PathBuf },
    Remove { path: PathBuf },
}

/// Changes in the order in which they were made, all newer than the content of the disk.
#[derive(Debug, Default)]
pub(crate) struct HeldChanges {
    changes: Vec<HeldChange>,
    created: u64,
}

impl HeldChanges {
    /// Whether nothing is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Creates a file under a temporary name, because an existing file of its name may be waiting
    /// to be renamed. The temporary name ends like that of an incomplete file.
    pub(crate) fn create(&mut self, path: &Path) -> io::Result<File> {
        self.created += 1;
        let temporary = path.with_extension(format!("held{}.tmp", self.created));
        let file = File::create(&temporary)?;
        self.rename(&temporary, path);
        Ok(file)
    }

    /// Holds a write at the end of `file`.
    pub(crate) fn write(&mut self, file: &File, bytes: &[u8]) -> io::Result<()> {
        let inode = file.metadata()?.ino();
        let bytes = bytes.to_vec();
        self.changes.push(HeldChange::Write { file: file.try_clone()?, inode, bytes });
        Ok(())
    }

    /// Holds a rename.
    pub(crate) fn rename(&mut self, from: &Path, to: &Path) {
        let (from, to) = (from.to_path_buf(), to.to_path_buf());
        self.changes.push(HeldChange::Rename { from, to });
    }

    /// Holds a removal.
    pub(crate) fn remove(&mut self, path: &Path) {
        self.changes.push(HeldChange::Remove { path: path.to_path_buf() });
    }

    /// Drops what is held beyond `size` bytes of `file`.
    pub(crate) fn truncate(&mut self, file: &File, size: u64) -> io::Result<()> {
        let metadata = file.metadata()?;
        let mut end = metadata.len();
        for change in &mut self.changes {
            if let HeldChange::Write { inode, bytes, .. } = change
                && *inode == metadata.ino()
            {
                let keep = size.saturating_sub(end).min(bytes.len() as u64);
                bytes.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
                end += keep;
            }
        }
        Ok(())
    }

    /// The content that a file would have if nothing were held back.
    pub(crate) fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let mut current = path;
        for change in self.changes.iter().rev() {
            match change {
                HeldChange::Rename { from, to } if to == current => current = from,
                HeldChange::Rename { from, .. } if from == current => {
                    return Err(io::ErrorKind::NotFound.into());
                }
                HeldChange::Remove { path } if path == current => {
                    return Err(io::ErrorKind::NotFound.into());
                }
                _ => {}
            }
        }
        let inode = std::fs::metadata(current)?.ino();
        let mut content = std::fs::read(current)?;
        for change in &self.changes {
            match change {
                HeldChange::Write { inode: written, bytes, .. } if *written == inode => {
                    content.extend_from_slice(bytes);
                }
                _ => {}
            }
        }
        Ok(content)
    }

    /// The names that `folder` would contain if nothing were held back, from those on the disk.
    pub(crate) fn list(&self, folder: &Path, names: Vec<String>) -> Vec<String> {
        let name_of = |path: &Path| {
            let is_inside = path.parent() == Some(folder);
            path.file_name().filter(|_| is_inside).map(|name| name.to_string_lossy().into_owned())
        };
        let mut names: BTreeSet<String> = names.into_iter().collect();
        for change in &self.changes {
            match change {
                HeldChange::Write { .. } => {}
                HeldChange::Rename { from, to } => {
                    name_of(from).map(|name| names.remove(&name));
                    names.extend(name_of(to));
                }
                HeldChange::Remove { path } => {
                    name_of(path).map(|name| names.remove(&name));
                }
            }
        }
        names.into_iter().collect()
    }

    /// Applies and syncs all changes, in order.
    pub(crate) fn apply_all(&mut self) -> io::Result<()> {
        for change in std::mem::take(&mut self.changes) {
            match change {
                HeldChange::Write { mut file, bytes, .. } => {
                    file.seek(SeekFrom::End(0))?;
                    file.write_all(&bytes)?;
                    file.sync_data()?;
                }
                HeldChange::Rename { from, to } => {
                    std::fs::rename(from, &to)?;
                    sync_parent(&to)?;
                }
                HeldChange::Remove { path } => {
                    std::fs::remove_file(&path)?;
                    sync_parent(&path)?;
                }
            }
        }
        Ok(())
    }
}

fn sync_parent(path: &Path) -> io::Result<()> {
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_data())
}
