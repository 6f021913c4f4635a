//! Reads a request's body within limits.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

use crate::{HttpLimits, RefusalCode, RequestRefusal};

/// Reads the whole body.
///
/// # Errors
/// A refusal if the body is too large, too slow or breaks off; nothing has run then.
pub async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, RequestRefusal> {
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(too_large(limits));
    }
    let collected = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limits)),
        Ok(Err(error)) => Err(RequestRefusal::new(
            RefusalCode::BadRequest,
            format!("the request's body broke off: {error}"),
        )),
        Err(_) => Err(RequestRefusal::new(
            RefusalCode::BodyTimeout,
            format!("the request's body took longer than {:?}", limits.body_timeout),
        )),
    }
}

fn too_large(limits: &HttpLimits) -> RequestRefusal {
    let message = format!("the request's body is larger than {} bytes", limits.body_bytes);
    RequestRefusal::new(RefusalCode::BodyTooLarge, message)
}
