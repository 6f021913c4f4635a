//! What the end of one send means for its request.

use wheel_route::EngineCard;
use wheel_upstream::{CallFailure, FailureKind, SentState, ServiceAnswer};

use crate::AnswerMark;
use crate::path_parts::PathParts;
use crate::request_log::RequestLog;

/// What an answer or its absence means.
pub(crate) enum Judged {
    /// The upstream's own answer.
    Answer(Box<ServiceAnswer>),
    /// The upstream refused it as not run.
    Rejected,
    /// The upstream refused it as not run, because it lacks what the request needs for now.
    Absent,
    /// It never left.
    Unsent,
    /// It may have run, and gave no answer that can be passed on.
    Broken,
}

/// Judges the sends of one request.
pub(crate) struct SendJudge<'a> {
    pub(crate) parts: &'a PathParts,
    pub(crate) log: &'a RequestLog,
}

impl SendJudge<'_> {
    /// What an answer, or its absence, means.
    pub(crate) fn judge(
        &self,
        card: &EngineCard,
        answer: Result<ServiceAnswer, CallFailure>,
    ) -> Judged {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.failure(&failure),
        };
        match self.parts.dialect.answer_mark(answer.status, &answer.headers) {
            AnswerMark::Ran => Judged::Answer(Box::new(answer)),
            AnswerMark::NotExecuted => {
                self.log.step("rejected", answer.status.as_str());
                Judged::Rejected
            }
            AnswerMark::Misdirected => {
                self.log.step("misdirected", answer.status.as_str());
                if self.parts.dialect.is_other_upstream(&answer.headers, &card.id.name) {
                    self.parts.state.note_leaving(&card.id);
                    return Judged::Rejected;
                }
                self.parts.state.note_doubtful(&card.id);
                Judged::Absent
            }
            AnswerMark::Unsigned => {
                self.log.step("unsigned", answer.status.as_str());
                Judged::Broken
            }
        }
    }

    fn failure(&self, failure: &CallFailure) -> Judged {
        self.log.step("send_failed", &failure.to_string());
        match failure {
            CallFailure { sent: SentState::NotSent, .. } => Judged::Unsent,
            CallFailure { kind: FailureKind::TooManyOpen, .. } => Judged::Unsent,
            _ => Judged::Broken,
        }
    }
}
