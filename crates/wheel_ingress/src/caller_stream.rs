//! The connection of a caller.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::head_meter::HeadMeter;
use crate::open_answer::OpenAnswer;
use crate::read_pace::ReadPace;

/// A TCP stream that ends with a reset if it is dropped during an answer that only the end of the
/// connection completes, or that its caller doesn't read.
pub(crate) struct CallerStream {
    stream: TcpStream,
    answer: Arc<OpenAnswer>,
    heads: Arc<HeadMeter>,
    pace: ReadPace,
    /// Whether its caller has left an answer unread for too long.
    is_given_up: bool,
}

impl CallerStream {
    /// Creates a stream that is reset if it is dropped while `answer` is open or once `pace` has ended
    /// a write, and that ends if `heads` has no memory for the head of a request.
    pub(crate) fn new(
        stream: TcpStream,
        answer: Arc<OpenAnswer>,
        heads: Arc<HeadMeter>,
        pace: ReadPace,
    ) -> Self {
        Self { stream, answer, heads, pace, is_given_up: false }
    }

    fn check_pace(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let is_waiting = outcome.is_pending();
        let outcome = self.pace.check(cx, outcome);
        self.is_given_up |= is_waiting && outcome.is_ready();
        outcome
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.answer.is_open() || self.is_given_up {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        match self.heads.record_read(buf.filled().len() - filled) {
            Ok(()) => outcome,
            Err(refused) => Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, refused))),
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_pace(cx, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_pace(cx, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
