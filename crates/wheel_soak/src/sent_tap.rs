//! Tells when a request has been written whole.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::{ObservationSink, SeenEvent};

/// What is to be told of the request that is being written.
#[derive(Debug, Default)]
pub(crate) struct SentNotice {
    event: Mutex<Option<SeenEvent>>,
}

impl SentNotice {
    pub(crate) fn set(&self, event: Option<SeenEvent>) {
        *self.event.lock() = event;
    }

    /// Whether the request hasn't been written yet.
    pub(crate) fn is_pending(&self) -> bool {
        self.event.lock().is_some()
    }
}

/// A connection that notes an event once the body is done and all bytes have gone to the socket.
#[derive(Debug)]
pub(crate) struct SentTap {
    pub(crate) stream: TcpStream,
    pub(crate) notice: Arc<SentNotice>,
    pub(crate) is_done: Arc<AtomicBool>,
    pub(crate) sink: ObservationSink,
}

impl AsyncRead for SentTap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SentTap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if self.is_done.load(Ordering::Acquire) {
            let event = self.notice.event.lock().take();
            event.into_iter().for_each(|event| self.sink.note(event));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
