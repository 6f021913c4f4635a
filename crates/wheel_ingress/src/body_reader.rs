//! Reads request bodies within limits.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{HttpLimits, RefusalCode, RequestRefusal};

/// Bytes of a too large body that are read and dropped. Closing a connection with unread bytes
/// resets it, and the caller might never see the refusal.
const MAX_DROPPED_BYTES: usize = 8 << 20;

/// Bytes reserved for a body before any arrive.
const FIRST_CAPACITY_BYTES: usize = 16 << 10;

/// Reads the whole body.
///
/// # Errors
/// A refusal if the body is too large, too slow or incomplete; the request hasn't run then.
pub async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, RequestRefusal> {
    match tokio::time::timeout(limits.body_timeout, collect(body, limits)).await {
        Ok(collected) => collected,
        Err(_) => Err(RequestRefusal::new(
            RefusalCode::BodyTimeout,
            format!("the request's body took longer than {:?}", limits.body_timeout),
        )),
    }
}

async fn collect(mut body: Incoming, limits: &HttpLimits) -> Result<Bytes, RequestRefusal> {
    let expected_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    // The announced length may never arrive, so memory grows with the bytes received.
    let mut buffer = BytesMut::with_capacity(expected_bytes.min(FIRST_CAPACITY_BYTES));
    let mut size = 0_usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the request's body broke off: {error}");
            RequestRefusal::new(RefusalCode::BadRequest, message)
        })?;
        let Ok(data) = frame.into_data() else { continue };
        size = size.saturating_add(data.len());
        match size {
            fitting if fitting <= limits.body_bytes => buffer.extend_from_slice(&data),
            dropped if dropped > limits.body_bytes + MAX_DROPPED_BYTES => break,
            _ => buffer.clear(),
        }
    }
    match size <= limits.body_bytes {
        true => Ok(buffer.freeze()),
        false => {
            let message = format!("the request's body is larger than {} bytes", limits.body_bytes);
            Err(RequestRefusal::new(RefusalCode::BodyTooLarge, message))
        }
    }
}
