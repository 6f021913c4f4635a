//! The file that holds the last snapshot.

use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use snafu::{OptionExt, ResultExt};

use crate::segment_header::{read_u32, read_u64};
use crate::storage_device::StorageDevice;
use crate::storage_error::{CorruptSnafu, IoSnafu, StorageError};
use crate::stored_snapshot::StoredSnapshot;

/// A snapshot together with the identity of its folder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SnapshotFile {
    /// Identity of the folder.
    pub(crate) identity: u64,
    /// The snapshot.
    pub(crate) snapshot: StoredSnapshot,
}

impl SnapshotFile {
    /// Path of the file in `folder`.
    pub(crate) fn path(folder: &Path) -> PathBuf {
        folder.join("snapshot")
    }

    /// Reads the file; `None` if there is none.
    pub(crate) fn read(
        device: &mut dyn StorageDevice,
        folder: &Path,
    ) -> Result<Option<Self>, StorageError> {
        let path = Self::path(folder);
        let bytes = match device.read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error).context(IoSnafu { action: "read", file: path }),
        };
        let reason = "damaged snapshot";
        let file = Self::decode(&bytes).context(CorruptSnafu { file: path, offset: 0_u64, reason });
        file.map(Some)
    }

    /// Encodes the content of the file.
    pub(crate) fn encode(identity: u64, snapshot: &StoredSnapshot) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + snapshot.bytes.len());
        bytes.extend_from_slice(&MAGIC);
        for field in [identity, snapshot.index, snapshot.term, snapshot.bytes.len() as u64] {
            bytes.extend_from_slice(&field.to_le_bytes());
        }
        let checksum = checksum(&bytes, &snapshot.bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(&snapshot.bytes);
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let content = bytes.get(HEADER_BYTES..)?;
        let fields = &bytes[..HEADER_BYTES - 4];
        let is_valid = fields.starts_with(&MAGIC)
            && read_u64(bytes, MAGIC.len() + 24)? == content.len() as u64
            && read_u32(bytes, HEADER_BYTES - 4)? == checksum(fields, content);
        let snapshot = StoredSnapshot {
            index: read_u64(bytes, MAGIC.len() + 8)?,
            term: read_u64(bytes, MAGIC.len() + 16)?,
            bytes: content.to_vec(),
        };
        let identity = read_u64(bytes, MAGIC.len())?;
        is_valid.then_some(Self { identity, snapshot })
    }
}

/// File type and format version.
const MAGIC: [u8; 8] = *b"WHEELSN1";

/// Magic, identity, index, term, length, checksum.
const HEADER_BYTES: usize = MAGIC.len() + 4 * 8 + 4;

/// Checksum of the header's fields and the content.
fn checksum(fields: &[u8], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(fields);
    hasher.update(content);
    hasher.finalize()
}
