//! How the end of an answer's body is marked.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http::{HeaderMap, StatusCode};

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFraming {
    /// The status or the method allows no body.
    Bodiless,
    /// By a length in the head.
    Length,
    /// By a last chunk.
    Chunks,
    /// Only by the end of the connection, which looks the same if the upstream broke off.
    Close,
    /// Not at all: the bytes have another transfer coding than chunks, or another protocol.
    Unreadable,
}

impl AnswerFraming {
    /// The framing that the head of an answer states. `has_body` is false if no body follows it,
    /// such as after a `HEAD`.
    pub(crate) fn of(head: &Parts, has_body: bool) -> Self {
        let headers = &head.headers;
        match head.status {
            status if status.is_informational() => Self::Unreadable,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Self::Bodiless,
            _ if is_chunked(headers) => Self::Chunks,
            // A length beside a transfer coding isn't that of the body.
            _ if headers.contains_key(TRANSFER_ENCODING) && has_body => Self::Unreadable,
            _ if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            _ if !has_body => Self::Bodiless,
            _ => Self::Close,
        }
    }

    /// Whether the end of the body can be distinguished from a broken connection.
    pub fn has_explicit_end(self) -> bool {
        !matches!(self, Self::Close | Self::Unreadable)
    }

    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bodiless => "bodiless",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
            Self::Unreadable => "unreadable",
        }
    }
}

/// Whether chunks are the only transfer coding of a body; none other is asked for.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let only = codings.next().filter(|_| codings.next().is_none());
    only.is_some_and(|only| only.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
