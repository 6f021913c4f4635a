//! The media type of a stream.

use http::HeaderMap;
use http::header::CONTENT_TYPE;

/// The type of a stream whose head names none.
const EVENT_STREAM: &str = "text/event-stream";

/// The media type that the head of a stream names, without parameters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct MediaType {
    name: Option<String>,
}

impl MediaType {
    /// The media type in `headers`.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let value = headers.get(CONTENT_TYPE).map(|value| value.as_bytes().to_ascii_lowercase());
        let value = value.map(|value| String::from_utf8_lossy(&value).into_owned());
        let name = value.and_then(|value| Some(value.split(';').next()?.trim().to_owned()));
        Self { name }
    }

    /// Whether a stream of this type may go on with a body of the type `next`. A body whose head
    /// names no type is judged by its events alone.
    pub(crate) fn allows(&self, next: &Self) -> bool {
        let name = self.name.as_deref().unwrap_or(EVENT_STREAM);
        next.name.as_deref().is_none_or(|next| next == name)
    }
}
