//! Names of the platform's headers.

use http::HeaderName;

pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-wisteriawheel-attempt-id");
/// A stand-in writes its own name, a dot and the request's id into it.
pub(crate) const SIGNATURE: HeaderName =
    HeaderName::from_static("x-wisteriawheel-response-signature");
/// In milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-wisteriawheel-deadline-ms");
pub(crate) const MODEL: HeaderName = HeaderName::from_static("x-wisteriawheel-model");
pub(crate) const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-wisteriawheel-token-usage");
pub(crate) const PROMPT: HeaderName = HeaderName::from_static("x-wisteriawheel-prompt-prefix");
