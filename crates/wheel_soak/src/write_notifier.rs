//! Records when a request has been written completely.

use parking_lot::Mutex;

use crate::{ObservationSink, SeenEvent};

#[derive(Debug)]
struct PendingEvent {
    event: SeenEvent,
    /// The last bytes of the body, which occur nowhere else in the request.
    marker: Vec<u8>,
    /// The last written bytes, at most as many as in the marker.
    tail: Vec<u8>,
}

/// Records an event once the request on a connection has been written completely.
#[derive(Debug, Default)]
pub(crate) struct WriteNotifier {
    pending: Mutex<Option<PendingEvent>>,
}

impl WriteNotifier {
    pub(crate) fn arm(&self, event: SeenEvent, marker: &str) {
        let (marker, tail) = (marker.as_bytes().to_vec(), Vec::new());
        *self.pending.lock() = Some(PendingEvent { event, marker, tail });
    }

    /// Discards the pending event; returns whether the request hadn't been written completely.
    pub(crate) fn cancel(&self) -> bool {
        self.pending.lock().take().is_some()
    }

    /// Processes bytes that were written to the socket.
    pub(crate) fn on_write(&self, bytes: &[u8], sink: &ObservationSink) {
        let mut pending = self.pending.lock();
        let is_whole = pending.as_mut().is_some_and(|pending| {
            pending.tail.extend(bytes);
            let old = pending.tail.len().saturating_sub(pending.marker.len());
            pending.tail.drain(..old);
            pending.tail == pending.marker
        });
        let written = pending.take_if(|_| is_whole);
        written.into_iter().for_each(|written| sink.record(written.event));
    }
}
