//! The parts of an answer's head.

/// The place at which an upstream stops in the head of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadPart {
    /// Inside a header's name.
    HeaderName,
    /// After a header's line.
    HeaderLine,
    /// Inside the value of the last header, which is the body's length for a plain answer.
    Length,
    /// Before the last line break.
    LastBreak,
    /// After a whole head that states neither a length nor chunks.
    Unbounded,
}
