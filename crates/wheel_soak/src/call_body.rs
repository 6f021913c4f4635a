//! The body of a call, sent at once or slowly.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

/// Pieces with a pause before each but the first.
#[derive(Debug)]
pub(crate) struct CallBody {
    pieces: VecDeque<Bytes>,
    pause: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
    /// Set once the last piece has been handed out.
    is_done: Arc<AtomicBool>,
}

impl CallBody {
    pub(crate) fn new(
        bytes: &Bytes,
        count: usize,
        pause: Duration,
        is_done: Arc<AtomicBool>,
    ) -> Self {
        let size = bytes.len().div_ceil(count.max(1)).max(1);
        let pieces = (0..bytes.len()).step_by(size);
        let pieces = pieces.map(|from| bytes.slice(from..bytes.len().min(from + size))).collect();
        Self { pieces, pause, waiting: None, is_done }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(sleep) = &mut self.waiting {
            ready!(sleep.as_mut().poll(context));
        }
        let piece = self.pieces.pop_front();
        self.waiting = Some(Box::pin(tokio::time::sleep(self.pause)));
        self.is_done.store(self.pieces.is_empty(), Ordering::Release);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.pieces.iter().map(|piece| piece.len() as u64).sum())
    }
}
