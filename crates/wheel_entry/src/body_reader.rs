//! Reads a request's body within limits.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{HttpLimits, RefusalCode, RequestRefusal};

/// Bytes of a body that is too large which are read and dropped. A connection that is closed with
/// unread bytes is reset, and the caller might never see the refusal.
const MAX_DROPPED_BYTES: usize = 8 << 20;

/// Bytes that are reserved for a body before any came.
const FIRST_CAPACITY_BYTES: usize = 16 << 10;

/// Reads the whole body.
///
/// # Errors
/// A refusal if the body is too large, too slow or breaks off; nothing has run then.
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
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    // What is announced needn't come: memory is taken as the bytes arrive.
    let mut whole = BytesMut::with_capacity(announced.min(FIRST_CAPACITY_BYTES));
    let mut size = 0_usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the request's body broke off: {error}");
            RequestRefusal::new(RefusalCode::BadRequest, message)
        })?;
        let Ok(data) = frame.into_data() else { continue };
        size = size.saturating_add(data.len());
        match size {
            fitting if fitting <= limits.body_bytes => whole.extend_from_slice(&data),
            dropped if dropped > limits.body_bytes + MAX_DROPPED_BYTES => break,
            _ => whole.clear(),
        }
    }
    match size <= limits.body_bytes {
        true => Ok(whole.freeze()),
        false => {
            let message = format!("the request's body is larger than {} bytes", limits.body_bytes);
            Err(RequestRefusal::new(RefusalCode::BodyTooLarge, message))
        }
    }
}
