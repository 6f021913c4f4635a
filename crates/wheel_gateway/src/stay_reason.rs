//! Why a request stays at a silent upstream.

/// Why a request stays at an upstream that is silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StayReason {
    /// Its route's requests run at most once.
    NotRepeatable,
    /// The caller has an event without an id, after which no other upstream can go on.
    NoEventId,
    /// It may have run at as many upstreams as its route allows, or too many refused it.
    NoAttempt,
    /// Too little time is left for an answer.
    NoTime,
    /// The service's retry budget is spent.
    NoRetry,
    /// No other upstream can serve it at once.
    NoUpstream,
}

impl StayReason {
    /// Its name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::NoEventId => "event_without_id",
            Self::NoAttempt => "no_attempt_left",
            Self::NoTime => "no_time_left",
            Self::NoRetry => "no_retry_left",
            Self::NoUpstream => "no_other_upstream",
        }
    }
}
