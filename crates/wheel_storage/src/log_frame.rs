//! One synced batch of records in a segment.

use snafu::{ResultExt, ensure};

use crate::log_record::LogRecord;
use crate::segment_header::{SegmentHeader, read_u32, read_u64};
use crate::storage_error::{EncodeSnafu, StorageError, TooLargeSnafu};

/// A batch with length, sequence number and checksum.
///
/// A batch is one frame because it is synced as one: at most the last frame of a segment can be
/// incomplete after a crash, so a damaged frame before a complete one is corruption.
/// The checksum covers the folder's identity and the segment's number, so that bytes copied from
/// another folder or segment, or carried inside a record, are never read as a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct LogFrame {
    /// The records in the order in which they apply.
    pub(crate) records: Vec<LogRecord>,
    /// Encoded size in bytes.
    pub(crate) size: usize,
}

/// Why no frame could be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FrameFault {
    /// The bytes end before the frame does.
    CutShort,
    /// Checksum, sequence number or content is wrong.
    Damaged,
}

impl LogFrame {
    /// Largest payload in bytes.
    pub(crate) const MAX_PAYLOAD_BYTES: usize = 64 << 20;

    /// Bytes before the payload: length, sequence number, checksum.
    pub(crate) const HEADER_BYTES: usize = 4 + 8 + 4;

    /// Encodes `records` as the frame number `sequence` of a segment.
    pub(crate) fn encode(
        header: &SegmentHeader,
        sequence: u64,
        records: &[LogRecord],
    ) -> Result<Vec<u8>, StorageError> {
        let payload = postcard::to_stdvec(records).context(EncodeSnafu)?;
        let limit = Self::MAX_PAYLOAD_BYTES;
        ensure!(payload.len() <= limit, TooLargeSnafu { bytes: payload.len(), limit });
        let length = payload.len() as u32;
        let checksum = checksum(header, sequence, &payload);
        let mut bytes = Vec::with_capacity(Self::HEADER_BYTES + payload.len());
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(&sequence.to_le_bytes());
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(&payload);
        Ok(bytes)
    }

    /// Reads the frame number `sequence` from the start of `bytes`.
    pub(crate) fn decode(
        header: &SegmentHeader,
        sequence: u64,
        bytes: &[u8],
    ) -> Result<Self, FrameFault> {
        let length = read_u32(bytes, 0).ok_or(FrameFault::CutShort)? as usize;
        let stored_sequence = read_u64(bytes, 4).ok_or(FrameFault::CutShort)?;
        let stored_checksum = read_u32(bytes, 12).ok_or(FrameFault::CutShort)?;
        if stored_sequence != sequence || length > Self::MAX_PAYLOAD_BYTES {
            return Err(FrameFault::Damaged);
        }
        let size = Self::HEADER_BYTES + length;
        let payload = bytes.get(Self::HEADER_BYTES..size).ok_or(FrameFault::CutShort)?;
        if checksum(header, sequence, payload) != stored_checksum {
            return Err(FrameFault::Damaged);
        }
        let records = postcard::from_bytes(payload).map_err(|_| FrameFault::Damaged)?;
        Ok(Self { records, size })
    }

    /// True if a complete frame with a number of at least `sequence` starts anywhere in `bytes`.
    pub(crate) fn occurs_in(header: &SegmentHeader, sequence: u64, bytes: &[u8]) -> bool {
        let max_frames = (bytes.len() / Self::HEADER_BYTES) as u64;
        let numbers = sequence..=sequence + max_frames;
        let mut starts = 0..bytes.len().saturating_sub(Self::HEADER_BYTES - 1);
        starts.any(|start| {
            let rest = &bytes[start..];
            let number = read_u64(rest, 4).filter(|number| numbers.contains(number));
            number.is_some_and(|number| Self::decode(header, number, rest).is_ok())
        })
    }
}

/// Checksum of a frame, including folder identity, segment and sequence number.
fn checksum(header: &SegmentHeader, sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for field in [header.identity, header.number, sequence, payload.len() as u64] {
        hasher.update(&field.to_le_bytes());
    }
    hasher.update(payload);
    hasher.finalize()
}
