//! Reads one segment of the log and replays its records.

use std::path::{Path, PathBuf};

use snafu::{OptionExt, ResultExt};

use crate::log_frame::{FrameFault, LogFrame};
use crate::log_record::LogRecord;
use crate::repaired_tail::{RepairedTail, TailFault};
use crate::segment_header::SegmentHeader;
use crate::storage_device::StorageDevice;
use crate::storage_error::{CorruptSnafu, IoSnafu, OutOfOrderSnafu, StorageError};
use crate::stored_entry::StoredEntry;
use crate::stored_vote::StoredVote;

/// The content of a segment after the replay of all its frames.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct LogSegment {
    /// Its header.
    pub(crate) header: SegmentHeader,
    /// The last vote.
    pub(crate) vote: Option<StoredVote>,
    /// The entries after the base, by index without gaps.
    pub(crate) entries: Vec<StoredEntry>,
    /// Sequence number of the next frame.
    pub(crate) next_sequence: u64,
    /// Size in bytes up to the end of the last complete frame.
    pub(crate) size: u64,
    /// What follows the last complete frame, if anything.
    pub(crate) tail: Option<RepairedTail>,
}

impl LogSegment {
    /// Path of the segment `number` in `folder`.
    pub(crate) fn path(folder: &Path, number: u64) -> PathBuf {
        folder.join(format!("{PREFIX}{number:016}"))
    }

    /// Number of the segment called `name`; `None` for other files.
    pub(crate) fn number(name: &str) -> Option<u64> {
        let digits = name.strip_prefix(PREFIX)?;
        let is_valid = digits.len() == 16 && digits.bytes().all(|byte| byte.is_ascii_digit());
        digits.parse().ok().filter(|_| is_valid)
    }

    /// Reads and replays the segment at `path`, without changing it.
    pub(crate) fn read(device: &mut dyn StorageDevice, path: &Path) -> Result<Self, StorageError> {
        let bytes = device.read(path).context(IoSnafu { action: "read", file: path })?;
        let header = SegmentHeader::decode(&bytes).context(CorruptSnafu {
            file: path,
            offset: 0_u64,
            reason: "damaged segment header",
        })?;
        let mut segment = Self { header, ..Self::default() };
        let mut offset = SegmentHeader::BYTES;
        while offset < bytes.len() {
            match LogFrame::decode(&header, segment.next_sequence, &bytes[offset..]) {
                Ok(frame) => {
                    segment.replay(path, offset, frame.records)?;
                    offset += frame.size;
                }
                Err(fault) => {
                    segment.tail = Some(segment.classify_tail(path, &bytes, offset, fault)?);
                    break;
                }
            }
        }
        segment.size = offset as u64;
        Ok(segment)
    }

    /// Applies one record to vote and entries.
    pub(crate) fn apply(&mut self, record: LogRecord) -> Result<(), StorageError> {
        let next = next_index(&self.header, &self.entries);
        match record {
            LogRecord::Vote(vote) => self.vote = Some(vote),
            LogRecord::Entry(entry) if entry.index == next => self.entries.push(entry),
            LogRecord::Entry(entry) => {
                return OutOfOrderSnafu { expected: next, found: entry.index }.fail();
            }
            LogRecord::TruncateFrom(index) if index > self.header.base_index => {
                let keep = index - self.header.base_index - 1;
                self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
            }
            LogRecord::TruncateFrom(index) => {
                let expected = self.header.base_index + 1;
                return OutOfOrderSnafu { expected, found: index }.fail();
            }
        }
        Ok(())
    }

    /// Drops the entries that a snapshot covers, or all if the log doesn't contain its last entry.
    pub(crate) fn rebase(&mut self, index: u64, term: u64) {
        if (index, term) == (self.header.base_index, self.header.base_term) {
            return;
        }
        let covered = index.checked_sub(self.header.base_index + 1);
        let end = covered.and_then(|end| usize::try_from(end).ok());
        let known = end.and_then(|end| self.entries.get(end));
        match (end, known) {
            (Some(end), Some(entry)) if entry.term == term => drop(self.entries.drain(..=end)),
            _ => self.entries.clear(),
        }
        self.header.base_index = index;
        self.header.base_term = term;
    }

    fn replay(
        &mut self,
        path: &Path,
        offset: usize,
        records: Vec<LogRecord>,
    ) -> Result<(), StorageError> {
        for record in records {
            self.apply(record).ok().context(CorruptSnafu {
                file: path,
                offset: offset as u64,
                reason: "entry out of order",
            })?;
        }
        self.next_sequence += 1;
        Ok(())
    }

    /// Distinguishes an incomplete last frame from damage before a complete one, which is an error.
    fn classify_tail(
        &self,
        path: &Path,
        bytes: &[u8],
        offset: usize,
        fault: FrameFault,
    ) -> Result<RepairedTail, StorageError> {
        let rest = &bytes[offset + 1..];
        if LogFrame::occurs_in(&self.header, self.next_sequence, rest) {
            let reason = "damaged frame before a complete one";
            return CorruptSnafu { file: path, offset: offset as u64, reason }.fail();
        }
        Ok(RepairedTail {
            file: path.to_path_buf(),
            offset: offset as u64,
            cut_bytes: (bytes.len() - offset) as u64,
            fault: match fault {
                FrameFault::CutShort => TailFault::CutShort,
                FrameFault::Damaged => TailFault::BadChecksum,
            },
        })
    }
}

/// Prefix of the file names of segments.
const PREFIX: &str = "log-";

/// The index that the next entry must have.
fn next_index(header: &SegmentHeader, entries: &[StoredEntry]) -> u64 {
    entries.last().map_or(header.base_index, |entry| entry.index) + 1
}
