//! The faults of an upstream.

use crate::{AnswerPhase, HeadPart, ResumeAnswer};

/// A fault that affects some requests at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// It begins a run and hangs before its answer is complete.
    Hang,
    /// It answers seconds too late.
    Late,
    /// It answers 500.
    Fail,
    /// Its answer has the id of another request.
    Crossed,
    /// It sends its answer twice.
    Doubled,
    /// Its answer isn't HTTP.
    Unframed,
    /// It resets the connection in the middle of its answer, or for every second stream does as
    /// [`Self::Closed`].
    Cut,
    /// Its stream has neither a length nor chunks and closes in order in the middle of an event.
    Closed,
    /// It is sound, sends nothing for 0.5 to 2 s and goes on.
    Silent(AnswerPhase),
    /// It sends a head with 200 and nothing else.
    HeadOnly,
    /// It sends bytes without end in place of this part.
    Endless(AnswerPhase),
    /// It resets each stream after its first event.
    Breaks,
    /// It refuses each request once as not run, and asks not to be called for a fraction of a second.
    /// If a request comes again on the connection that carried its refusal, it sends that once more
    /// while it runs the request.
    Refuses,
    /// It resets streams after their first event, and answers so to streams that it is to resume.
    Resumes(ResumeAnswer),
    /// It stops in the head of its answer and closes the connection, in order or with a reset.
    StopsInHead {
        /// The place.
        part: HeadPart,
        /// Whether it resets the connection.
        is_reset: bool,
    },
}
