//! The body of a request.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;

use crate::OrderPermit;

/// The permit of an order expired before its body was sent.
#[derive(Debug, Snafu)]
#[snafu(display("the permit expired before the order was sent"))]
pub(crate) struct PermitExpired;

/// A body that is read once; the body of an order can be read only while its permit is valid.
pub(crate) struct CallBody {
    bytes: Option<Bytes>,
    permit: Option<Arc<dyn OrderPermit>>,
    body_read: Arc<AtomicBool>,
}

impl CallBody {
    /// The body of a call.
    pub(crate) fn new(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|bytes| !bytes.is_empty());
        Self { bytes, permit: None, body_read: Arc::default() }
    }

    /// The body of an order, and a flag that is set when hyper has read the bytes.
    pub(crate) fn with_permit(
        bytes: Bytes,
        permit: Arc<dyn OrderPermit>,
    ) -> (Self, Arc<AtomicBool>) {
        let body_read = Arc::<AtomicBool>::default();
        (Self { bytes: Some(bytes), permit: Some(permit), body_read: body_read.clone() }, body_read)
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = PermitExpired;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PermitExpired>>> {
        if self.permit.as_ref().is_some_and(|permit| !permit.is_valid()) {
            return Poll::Ready(Some(Err(PermitExpired)));
        }
        self.body_read.store(true, Ordering::Release);
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
