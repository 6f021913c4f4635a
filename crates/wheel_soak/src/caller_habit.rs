//! Habits of callers on plain connections.

/// How a caller treats its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerHabit {
    /// Sends a second request while it waits for the answer to the first.
    Pipelines,
    /// Reads at once, behind a slow link.
    HasSlowLink,
    /// Stops reading for a while after the head of an answer.
    StopsReading,
}
