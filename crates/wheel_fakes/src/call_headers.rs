//! The headers of a generation request.

use hyper::HeaderMap;
use wheel_types::{RequestId, RequestRank};

/// Parsed headers of a generation request; missing ones are empty or 0.
pub(crate) struct CallHeaders {
    pub(crate) request: RequestId,
    pub(crate) attempt: String,
    pub(crate) rank: RequestRank,
    pub(crate) resume_from: u64,
}

impl CallHeaders {
    /// Parses the headers.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let word = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| word(name).and_then(|word| word.parse().ok()).unwrap_or_default();
        Self {
            request: RequestId::new(word("wheel-request-id").unwrap_or_default()),
            attempt: word("wheel-attempt-id").unwrap_or_default().to_owned(),
            rank: RequestRank(number("wheel-priority") as u8),
            resume_from: number("wheel-resume-from"),
        }
    }
}
