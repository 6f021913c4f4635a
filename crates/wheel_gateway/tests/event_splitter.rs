//! Events must be the same however their bytes arrive in pieces.

#![allow(clippy::expect_used)]

use wheel_gateway::EventSplitter;

/// The events of `bytes` received in pieces of `size`, then the bytes after the last one.
fn split(bytes: &[u8], size: usize) -> Vec<(Option<u64>, Vec<u8>)> {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in bytes.chunks(size) {
        splitter.push(piece);
        while let Some((id, event)) = splitter.next_event() {
            events.push((id, event.to_vec()));
        }
    }
    events.push((None, splitter.take_rest().to_vec()));
    events
}

#[test]
fn events_are_the_same_in_any_pieces() {
    let texts = [
        "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n\n\r\n\nid: 3\ndata: c\n\r\nda",
        "\r\r\n\n\r\n\r\r\nid: 7\n\n\r",
        "data: a\r\n\ndata: b\n\r\r\n\r\nrest\n",
    ];
    for text in texts {
        let whole = split(text.as_bytes(), text.len());
        for size in 1..text.len() {
            assert_eq!(split(text.as_bytes(), size), whole, "pieces of {size} bytes of {text:?}");
        }
    }
}

#[test]
fn returns_without_end_count_as_buffered() {
    let mut splitter = EventSplitter::default();
    splitter.push(&[b'\r'; 4_096]);
    assert_eq!(splitter.next_event(), None);
    assert_eq!((splitter.partial_len(), splitter.buffered_len()), (0, 4_096));
    splitter.clear();
    assert_eq!(splitter.buffered_len(), 0);
}
