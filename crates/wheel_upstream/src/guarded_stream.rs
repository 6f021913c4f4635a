//! A socket that counts written bytes and can be closed for writing.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::OrderPermit;

/// Maximum number of bytes before the end of an answer's head, with what may be read ahead of its
/// body. Interim answers and an endless head would otherwise be read for as long as they come.
const MAX_BYTES_BEFORE_BODY: u64 = 1 << 20;

/// A TCP stream that counts the bytes written to it and can be sealed against further use.
///
/// Counting, sealing and writing share one lock, so that the count of a sealed stream is final: if
/// it hasn't grown, no byte was sent and none will be.
pub(crate) struct GuardedStream {
    stream: TcpStream,
    gate: Arc<WriteGate>,
}

/// The handle that controls writing to a [`GuardedStream`].
#[derive(Default)]
pub(crate) struct WriteGate {
    state: Mutex<GateState>,
    permit: Option<Arc<dyn OrderPermit>>,
}

#[derive(Default)]
struct GateState {
    written: u64,
    sealed: bool,
    /// Whether the next write is the first of its request.
    begins_request: bool,
    /// Bytes that may still be read before the end of an answer's head, while that is awaited.
    head_bytes_left: Option<u64>,
    /// When the last read found nothing more to read.
    emptied_at: Option<Instant>,
    /// A time before which none of the last bytes had arrived.
    arrived_after: Option<Instant>,
}

impl GuardedStream {
    /// Creates a stream whose writes are controlled by `gate`.
    pub(crate) fn new(stream: TcpStream, gate: Arc<WriteGate>) -> Self {
        Self { stream, gate }
    }
}

impl WriteGate {
    /// A gate that also checks `permit` before each write.
    pub(crate) fn with_permit(permit: Arc<dyn OrderPermit>) -> Self {
        Self { permit: Some(permit), ..Self::default() }
    }

    /// Bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.state.lock().written
    }

    /// Begins a request, whose first byte isn't written if bytes have arrived before it, and limits the
    /// bytes that are read until [`WriteGate::end_head`].
    pub(crate) fn begin_request(&self) {
        let mut state = self.state.lock();
        state.begins_request = true;
        state.head_bytes_left = Some(MAX_BYTES_BEFORE_BODY);
    }

    /// Records that the head of an answer has been read.
    pub(crate) fn end_head(&self) {
        self.state.lock().head_bytes_left = None;
    }

    /// Whether bytes have arrived that weren't waiting to be read at `time`.
    pub(crate) fn has_read_since(&self, time: Instant) -> bool {
        self.state.lock().arrived_after.is_some_and(|after| after >= time)
    }

    /// Records that there is nothing more to read for now.
    fn record_empty(&self) {
        self.state.lock().emptied_at = Some(Instant::now());
    }

    /// Counts bytes that were read; false if nothing more may be read.
    fn record_read(&self, bytes: usize) -> bool {
        let mut state = self.state.lock();
        let left = state.head_bytes_left.map(|left| left.checked_sub(bytes as u64));
        state.head_bytes_left = left.map(Option::unwrap_or_default);
        state.arrived_after = state.emptied_at.filter(|_| bytes > 0).or(state.arrived_after);
        !state.sealed && left != Some(None)
    }

    /// Rejects all later reads and writes and makes the connection end with a reset; returns the final count.
    pub(crate) fn seal(&self) -> u64 {
        let mut state = self.state.lock();
        state.sealed = true;
        state.written
    }

    fn write(
        &self,
        stream: &mut TcpStream,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.lock();
        let permitted = self.permit.as_ref().is_none_or(|permit| permit.is_valid());
        let begins_request = permitted && std::mem::take(&mut state.begins_request);
        if begins_request && has_arrived(stream) {
            state.sealed = true;
        }
        if state.sealed || !permitted {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let outcome = write(Pin::new(stream));
        if let Poll::Ready(Ok(written)) = &outcome {
            state.written += *written as u64;
        }
        outcome
    }
}

/// Whether bytes or the end of the connection have arrived that weren't read. What is there before a
/// request is written doesn't answer it.
fn has_arrived(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok()
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let outcome = Pin::new(&mut self.stream).poll_read(cx, buf);
        if outcome.is_pending() {
            self.gate.record_empty();
        }
        // The task that reads may not end by itself while bytes keep coming.
        match self.gate.record_read(buf.filled().len() - filled) {
            true => outcome,
            false => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.gate.write(&mut this.stream, |stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.gate.write(&mut this.stream, |stream| stream.poll_write_vectored(cx, bufs))
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

impl Drop for GuardedStream {
    fn drop(&mut self) {
        if self.gate.state.lock().sealed {
            // Unsent bytes are discarded, so that nothing arrives after the call was abandoned.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}
