//! How long upstreams keep a request away.

use std::time::Duration;

/// How long upstreams that have all that a request needs keep it away.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockedTime {
    /// Until the first of them may be called again.
    pub(crate) rest: Option<Duration>,
    /// Until the limit of the first of them lets the request be sent.
    pub(crate) limit: Option<Duration>,
}

impl BlockedTime {
    pub(crate) fn shortest(self) -> Option<Duration> {
        self.rest.into_iter().chain(self.limit).min()
    }

    pub(crate) fn reason(self) -> Option<&'static str> {
        match (self.rest, self.limit) {
            (Some(rest), limit) if limit.is_none_or(|limit| rest <= limit) => {
                Some("upstreams_rest")
            }
            (_, Some(_)) => Some("upstreams_limited"),
            _ => None,
        }
    }
}
