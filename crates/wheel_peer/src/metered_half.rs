//! One direction of a connection, with its bytes counted.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use futures_util::io::{AsyncRead, AsyncWrite};

use crate::counter_table::{CounterTable, count};
use crate::stream_monitor::StreamMonitor;

/// Counts the bytes that pass through one half of a socket.
pub(crate) struct MeteredHalf<H> {
    half: H,
    monitor: Rc<StreamMonitor>,
    counters: Arc<CounterTable>,
}

impl<H> MeteredHalf<H> {
    pub(crate) fn new(half: H, monitor: Rc<StreamMonitor>, counters: Arc<CounterTable>) -> Self {
        Self { half, monitor, counters }
    }
}

impl<H: AsyncRead + Unpin> AsyncRead for MeteredHalf<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.half).poll_read(cx, buffer))?;
        count(&self.counters.wire_received, bytes);
        if self.monitor.record_received(bytes) {
            return Poll::Ready(Ok(bytes));
        }
        Poll::Ready(Err(io::Error::other("too many bytes before authentication")))
    }
}

impl<H: AsyncWrite + Unpin> AsyncWrite for MeteredHalf<H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = ready!(Pin::new(&mut self.half).poll_write(cx, buffer))?;
        count(&self.counters.wire_sent, bytes);
        Poll::Ready(Ok(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.half).poll_close(cx)
    }
}
