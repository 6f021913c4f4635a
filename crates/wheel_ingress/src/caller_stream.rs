//! The connection of a caller.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection_activity::ConnectionActivity;
use crate::head_meter::HeadMeter;
use crate::open_answer::OpenAnswer;
use crate::read_pace::ReadPace;

/// A TCP stream that ends with a reset during an answer that only the end of the connection
/// completes, whether it is dropped or the process is killed, and if its caller doesn't read.
pub(crate) struct CallerStream {
    stream: TcpStream,
    answer: Arc<OpenAnswer>,
    heads: Arc<HeadMeter>,
    pace: ReadPace,
    activity: Arc<ConnectionActivity>,
    /// Whether its caller has left an answer unread for too long.
    is_given_up: bool,
    /// Whether the system resets the connection instead of closing it.
    resets: bool,
}

impl CallerStream {
    /// Creates a stream that is reset if it is dropped while `answer` is open or once `pace` has ended
    /// a write, and that ends if `heads` has no memory for the head of a request. What it reads and
    /// writes is recorded in `activity`.
    pub(crate) fn new(
        stream: TcpStream,
        answer: Arc<OpenAnswer>,
        heads: Arc<HeadMeter>,
        pace: ReadPace,
        activity: Arc<ConnectionActivity>,
    ) -> Self {
        Self { stream, answer, heads, pace, activity, is_given_up: false, resets: false }
    }

    fn check_pace(
        &mut self,
        cx: &mut Context<'_>,
        outcome: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let is_waiting = outcome.is_pending();
        self.activity.record_write(is_waiting);
        let outcome = self.pace.check(cx, outcome);
        self.is_given_up |= is_waiting && outcome.is_ready();
        outcome
    }

    /// Whether the connection must not end in order.
    fn is_cut(&self) -> bool {
        self.answer.is_open() || self.is_given_up
    }

    /// Has the connection end with a reset from now on, if an answer is open or was given up.
    fn begin_reset(&mut self) {
        if self.is_cut() && !self.resets {
            let set = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
            self.resets = set.is_ok();
        }
    }

    /// Has the connection end in order again, once everything of an answer is written.
    fn end_reset(&mut self) {
        if !self.is_cut() && self.resets {
            self.resets = SockRef::from(&self.stream).set_linger(None).is_err();
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.begin_reset();
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
        let count = buf.filled().len() - filled;
        self.activity.record_read(count > 0);
        match self.heads.record_read(count) {
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
        self.begin_reset();
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_pace(cx, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_reset();
        let outcome = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_pace(cx, outcome)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end_reset();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end_reset();
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
