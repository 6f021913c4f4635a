//! The connection of a caller.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, LazyLock};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::DrainDeadline;
use crate::connection_activity::ConnectionActivity;
use crate::head_meter::HeadMeter;
use crate::open_answer::OpenAnswer;
use crate::read_pace::ReadPace;

/// Bytes of an answer that the system is given at the end of a drain, as far as it allows so many.
const LAST_BUFFER_BYTES: usize = 4 << 20;

/// The size of the send buffer that the system gives for [`LAST_BUFFER_BYTES`]; 0 if it gives none.
static LARGEST_BUFFER: LazyLock<usize> = LazyLock::new(|| {
    let granted = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_send_buffer_size(LAST_BUFFER_BYTES)?;
        socket.send_buffer_size()
    };
    granted().unwrap_or_default()
});

/// A TCP stream that ends with a reset during an answer that only the end of the connection
/// completes, whether it is dropped or the process is killed, and if its caller doesn't read.
pub(crate) struct CallerStream {
    stream: TcpStream,
    answer: Arc<OpenAnswer>,
    heads: Arc<HeadMeter>,
    pace: ReadPace,
    activity: Arc<ConnectionActivity>,
    drain: DrainDeadline,
    /// Whether its buffer takes the rest of an answer.
    is_last: bool,
    /// Whether its caller has left an answer unread for too long.
    is_given_up: bool,
    /// Whether the system resets the connection instead of closing it.
    resets: bool,
}

impl CallerStream {
    /// Creates a stream that is reset if it is dropped while `answer` is open or once `pace` has ended
    /// a write, and that ends if `heads` has no memory for the head of a request. What it reads and
    /// writes is recorded in `activity`; the end of `drain` is when the process is about to end.
    pub(crate) fn new(
        stream: TcpStream,
        answer: Arc<OpenAnswer>,
        heads: Arc<HeadMeter>,
        pace: ReadPace,
        activity: Arc<ConnectionActivity>,
        drain: DrainDeadline,
    ) -> Self {
        Self {
            stream,
            answer,
            heads,
            pace,
            activity,
            drain,
            is_last: false,
            is_given_up: false,
            resets: false,
        }
    }

    /// Has the system take as much of an answer as it can once the drain has ended: it goes on sending
    /// after the end of the process, to callers whose links are slow.
    fn widen_at_drain_end(&mut self) {
        if self.is_last || !self.drain.has_passed() {
            return;
        }
        self.is_last = true;
        let socket = SockRef::from(&self.stream);
        // A size of one's own replaces the one that the system has chosen, which may be larger.
        if socket.send_buffer_size().is_ok_and(|bytes| bytes < *LARGEST_BUFFER) {
            let _ = socket.set_send_buffer_size(LAST_BUFFER_BYTES);
        }
        let _ = socket.set_tcp_notsent_lowat(u32::MAX);
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
        self.widen_at_drain_end();
        let outcome = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_pace(cx, outcome)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_reset();
        self.widen_at_drain_end();
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
