//! The parts of an answer.

/// The part of an answer at which a fault acts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPhase {
    /// Before the head, or in it.
    Head,
    /// After the head, before the first event or byte of the body.
    FirstEvent,
    /// In the middle of the body.
    Middle,
}
