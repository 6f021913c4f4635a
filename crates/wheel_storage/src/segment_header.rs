//! The header of a log segment.

/// Identifies the folder and the snapshot that a segment belongs to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SegmentHeader {
    /// Identity of the folder.
    pub(crate) identity: u64,
    /// Number of the segment; the highest in the folder is the current one.
    pub(crate) number: u64,
    /// Index of the snapshot that the segment follows, 0 for none.
    pub(crate) base_index: u64,
    /// Term of that snapshot.
    pub(crate) base_term: u64,
}

impl SegmentHeader {
    /// Encoded size in bytes.
    pub(crate) const BYTES: usize = MAGIC.len() + 4 * 8 + 4;

    /// Encodes the header as the first bytes of the file.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        for field in [self.identity, self.number, self.base_index, self.base_term] {
            bytes.extend_from_slice(&field.to_le_bytes());
        }
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the header from the first bytes of a file; `None` if it is damaged.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let header = Self {
            identity: read_u64(bytes, MAGIC.len())?,
            number: read_u64(bytes, MAGIC.len() + 8)?,
            base_index: read_u64(bytes, MAGIC.len() + 16)?,
            base_term: read_u64(bytes, MAGIC.len() + 24)?,
        };
        (bytes.get(..Self::BYTES)? == header.encode()).then_some(header)
    }
}

/// File type and format version.
const MAGIC: [u8; 8] = *b"WHEELLG1";

/// Reads a little-endian number at `offset`.
pub(crate) fn read_u64(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset.checked_add(8)?)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}

/// Reads a little-endian number at `offset`.
pub(crate) fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset.checked_add(4)?)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}
