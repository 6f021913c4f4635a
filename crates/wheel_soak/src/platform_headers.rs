//! Names of the platform's headers.

use http::HeaderName;
use wheel_platform::wire_names;

pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static(wire_names::ATTEMPT_ID);
/// A stub sends its own name, a dot and the request id in it.
pub(crate) const SIGNATURE: HeaderName = HeaderName::from_static(wire_names::SIGNATURE);
/// In milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static(wire_names::DEADLINE);
pub(crate) const MODEL: HeaderName = HeaderName::from_static(wire_names::MODEL);
pub(crate) const TOKEN_USAGE: HeaderName = HeaderName::from_static(wire_names::TOKEN_USAGE);
pub(crate) const KEY: HeaderName = HeaderName::from_static(wire_names::KEY);
pub(crate) const PROMPT: HeaderName = HeaderName::from_static(wire_names::PROMPT);
