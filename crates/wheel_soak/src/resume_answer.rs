//! The odd answers to resumed streams.

/// What an upstream answers, with success, to a stream that it is to resume.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumeAnswer {
    /// A body of length 0.
    NoBytes,
    /// The last chunk alone.
    NoChunks,
    /// A 204.
    NoContent,
    /// The text of an error, and a blank line.
    Text,
    /// The next event, and then the head of another answer.
    EventAndHead,
    /// The head of another answer, ended by its connection.
    ClosedHead,
    /// An event that reports an error.
    ErrorEvent,
}
