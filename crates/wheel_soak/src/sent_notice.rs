//! Tells when a request has been written whole.

use parking_lot::Mutex;

use crate::{ObservationSink, SeenEvent};

#[derive(Debug)]
struct PendingNotice {
    event: SeenEvent,
    /// The last bytes of the body, which stand nowhere else in the request.
    mark: Vec<u8>,
    /// The last bytes that were written, as many at most.
    tail: Vec<u8>,
}

/// What is to be told of the request that a connection writes.
#[derive(Debug, Default)]
pub(crate) struct SentNotice {
    pending: Mutex<Option<PendingNotice>>,
}

impl SentNotice {
    pub(crate) fn set(&self, event: SeenEvent, mark: &str) {
        let (mark, tail) = (mark.as_bytes().to_vec(), Vec::new());
        *self.pending.lock() = Some(PendingNotice { event, mark, tail });
    }

    /// Tells nothing any more; returns whether the request hadn't been written yet.
    pub(crate) fn cancel(&self) -> bool {
        self.pending.lock().take().is_some()
    }

    /// Takes in bytes that went to the socket.
    pub(crate) fn heed(&self, bytes: &[u8], sink: &ObservationSink) {
        let mut pending = self.pending.lock();
        let is_whole = pending.as_mut().is_some_and(|pending| {
            pending.tail.extend(bytes);
            let old = pending.tail.len().saturating_sub(pending.mark.len());
            pending.tail.drain(..old);
            pending.tail == pending.mark
        });
        let told = pending.take_if(|_| is_whole);
        told.into_iter().for_each(|told| sink.note(told.event));
    }
}
