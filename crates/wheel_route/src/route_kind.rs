//! What may be repeated.

/// The kind of a route's requests, which alone decides what may be sent twice.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Streaming {
        /// Whether it may go on at another engine after the last event that was passed on.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run a second time.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}
