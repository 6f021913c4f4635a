//! Reads request bodies within limits.

use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use wheel_memory::{ByteBudget, LeasedBuffer, process_budget};

use crate::{HttpLimits, RefusalCode, RequestRefusal};

/// Bytes of a too large body that are read and dropped. Closing a connection with unread bytes
/// resets it, and the caller might never see the refusal.
const MAX_DROPPED_BYTES: usize = 8 << 20;

/// The part of the process's budget that bodies of requests may hold, as its divisor.
const UPLOAD_DIVISOR: usize = 2;

/// `Retry-After` of a refusal for lack of memory.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

static UPLOADS: LazyLock<ByteBudget> = LazyLock::new(|| process_budget().part(UPLOAD_DIVISOR));

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
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut refusal = (announced_bytes > limits.body_bytes).then(|| too_large(limits));
    let mut buffer = LeasedBuffer::new(UPLOADS.lease());
    let mut size = 0_usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let message = format!("the request's body broke off: {error}");
            RequestRefusal::new(RefusalCode::BadRequest, message)
        })?;
        let Ok(data) = frame.into_data() else { continue };
        size = size.saturating_add(data.len());
        refusal = match refusal {
            Some(refused) if size > limits.body_bytes + MAX_DROPPED_BYTES => return Err(refused),
            None if size > limits.body_bytes => Some(too_large(limits)),
            None => buffer.push(&data).err().map(|refused| no_memory(&refused.to_string())),
            refused => refused,
        };
        if refusal.is_some() {
            buffer.discard();
        }
    }
    refusal.map_or_else(|| Ok(buffer.freeze()), Err)
}

fn too_large(limits: &HttpLimits) -> RequestRefusal {
    let message = format!("the request's body is larger than {} bytes", limits.body_bytes);
    RequestRefusal::new(RefusalCode::BodyTooLarge, message)
}

fn no_memory(reason: &str) -> RequestRefusal {
    metrics::counter!("wheel_bodies_without_memory_total").increment(1);
    let message = format!("no memory for the request's body: {reason}");
    RequestRefusal::new(RefusalCode::Unavailable, message).with_retry_after(MEMORY_RETRY)
}
