//! Splits a byte stream into events.

use bytes::{Bytes, BytesMut};

/// Field that carries an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes and returns complete events with their ids.
///
/// ```
/// use wheel_gateway::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().map(|(id, _)| id), Some(Some(1)));
/// assert_eq!(splitter.next_event(), None);
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer in which no event ends.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event, with its id if it has one.
    pub fn next_event(&mut self) -> Option<(Option<u64>, Bytes)> {
        let Some(end) = event_end(&self.buffer, self.scanned) else {
            // The last two bytes may belong to a blank line that isn't complete.
            self.scanned = self.buffer.len().saturating_sub(2);
            return None;
        };
        self.scanned = 0;
        let event = self.buffer.split_to(end).freeze();
        Some((event_id(&event), event))
    }

    /// Number of bytes of an incomplete event; 0 if only blank lines follow the last event.
    pub fn partial_len(&self) -> usize {
        let is_blank = self.buffer.iter().all(|byte| matches!(byte, b'\n' | b'\r'));
        if is_blank { 0 } else { self.buffer.len() }
    }

    /// Number of bytes that are kept, blank ones included.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Discards a partial event that will never be completed.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }

    /// Takes the bytes that follow the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }
}

/// The length of the first event with the blank line that ends it. Lines end with LF or CRLF.
/// None ends in the first `scanned` bytes.
fn event_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    let unscanned = bytes.iter().enumerate().skip(scanned);
    let mut line_ends = unscanned.filter(|(_, byte)| **byte == b'\n');
    line_ends.find_map(|(end, _)| match &bytes[end + 1..] {
        [b'\n', ..] => Some(end + 2),
        [b'\r', b'\n', ..] => Some(end + 3),
        _ => None,
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
