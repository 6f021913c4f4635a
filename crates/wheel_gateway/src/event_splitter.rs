//! Splits a byte stream into events.

use bytes::{Bytes, BytesMut};

/// The end of an event: a blank line.
const EVENT_END: &[u8] = b"\n\n";
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
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event, with its id if it has one.
    pub fn next_event(&mut self) -> Option<(Option<u64>, Bytes)> {
        let end = self.buffer.windows(EVENT_END.len()).position(|bytes| bytes == EVENT_END)?;
        let event = self.buffer.split_to(end + EVENT_END.len()).freeze();
        Some((event_id(&event), event))
    }

    /// Discards a partial event that will never be completed.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }

    /// Takes the bytes that follow the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
