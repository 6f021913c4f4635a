//! Which requests may be sent twice.

/// The kind of a route's requests. It alone decides whether a request may be sent twice.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Streaming {
        /// Whether it may resume at another engine after the last forwarded event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}
