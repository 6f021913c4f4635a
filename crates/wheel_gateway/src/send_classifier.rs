//! Classifies the result of a send.

use std::time::Duration;

use http::StatusCode;
use metrics::counter;
use wheel_route::EngineInfo;
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;
use wheel_upstream::{CallFailure, FailureKind, SentState, ServiceAnswer, asked_rest};

use crate::proxy_context::ProxyContext;
use crate::request_log::RequestLog;
use crate::{AnswerClass, NamedLimit};

/// What the answer to a send, or its absence, means for the request.
pub(crate) enum SendClass {
    /// The upstream's answer.
    Answer(Box<ServiceAnswer>),
    /// The upstream refused the request as not run.
    Rejected,
    /// The upstream refused the request as not run and asked not to be called for a while.
    Resting,
    /// The upstream refused the request as not run because it lacks the model at the moment.
    Absent,
    /// The request never left this instance.
    Unsent,
    /// The request may have run, and there is no answer that can be forwarded.
    Broken,
}

/// Classifies the sends of one request.
pub(crate) struct SendClassifier<'a> {
    pub(crate) context: &'a ProxyContext,
    pub(crate) log: &'a RequestLog,
    /// When the request was sent.
    pub(crate) sent: MonotonicTime,
}

impl SendClassifier<'_> {
    /// Classifies an answer or its absence, and records an upstream that isn't as reported.
    pub(crate) fn classify(
        &self,
        info: &EngineInfo,
        answer: Result<ServiceAnswer, CallFailure>,
    ) -> SendClass {
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => return self.failure(&failure),
        };
        self.record_leaving(info, &answer);
        self.record_limit(info, &answer);
        let rest = self.record_rest(info, &answer);
        match self.context.dialect.classify_answer(answer.status, &answer.headers) {
            AnswerClass::Ran => SendClass::Answer(Box::new(answer)),
            AnswerClass::NotExecuted => {
                self.log_rejection(answer.status, rest);
                if rest.is_some() { SendClass::Resting } else { SendClass::Rejected }
            }
            AnswerClass::Misdirected => {
                self.log.step("misdirected", answer.status.as_str());
                if self.context.dialect.is_other_upstream(&answer.headers, &info.id.name) {
                    self.context.state.record_leaving(&info.id);
                    return SendClass::Rejected;
                }
                self.context.state.record_stale_engine(&info.id);
                SendClass::Absent
            }
            AnswerClass::Unsigned if promises_nothing(answer.status) => {
                SendClass::Answer(Box::new(answer))
            }
            AnswerClass::Unsigned => {
                self.log.step("unsigned", answer.status.as_str());
                SendClass::Broken
            }
            AnswerClass::Encoded => {
                self.log.step("encoded", answer.status.as_str());
                SendClass::Broken
            }
        }
    }

    /// Records that the upstream announces that it leaves.
    fn record_leaving(&self, info: &EngineInfo, answer: &ServiceAnswer) {
        let dialect = &self.context.dialect;
        if dialect.is_leaving(&answer.headers)
            && !dialect.is_other_upstream(&answer.headers, &info.id.name)
        {
            self.log.step("upstream_leaves", answer.status.as_str());
            self.context.state.record_announced_leaving(&info.id);
        }
    }

    /// Records the limit that the upstream names. A value that can't be read changes nothing.
    fn record_limit(&self, info: &EngineInfo, answer: &ServiceAnswer) {
        let dialect = &self.context.dialect;
        if dialect.is_other_upstream(&answer.headers, &info.id.name) {
            return;
        }
        let rate = match dialect.named_limit(&answer.headers) {
            NamedLimit::None => None,
            NamedLimit::PerSecond(rate) => Some(rate),
            NamedLimit::Malformed(value) => {
                counter!("wheel_upstream_limits_malformed_total").increment(1);
                return self.log.step("limit_malformed", &value);
            }
        };
        if self.context.state.limits().record(&info.id, rate, (self.sent, boot_now())) {
            let rate = rate.map_or("no limit".to_owned(), |rate| format!("{rate} a second"));
            self.log.step("upstream_limit", &format!("{}: {rate}", info.id.name));
        }
    }

    /// Records the time for which a busy upstream asks this instance not to call it.
    fn record_rest(&self, info: &EngineInfo, answer: &ServiceAnswer) -> Option<Duration> {
        let rest = asked_rest(answer.status, &answer.headers)?;
        self.context.rests.lock().record(self.context.now(), &info.id, rest);
        Some(rest)
    }

    /// Logs a refusal with the time for which the upstream asks not to be called.
    fn log_rejection(&self, status: StatusCode, rest: Option<Duration>) {
        let asked_ms = rest.map(|rest| rest.as_millis().to_string());
        counter!("wheel_upstream_refusals_total", "asks_rest" => asked_ms.is_some().to_string())
            .increment(1);
        let asked_ms = asked_ms.as_deref().unwrap_or("none");
        self.log.step("rejected", &format!("{}, retry_after_ms {asked_ms}", status.as_str()));
    }

    fn failure(&self, failure: &CallFailure) -> SendClass {
        self.log.step("send_failed", &failure.to_string());
        match failure {
            CallFailure { sent: SentState::NotSent, .. } => SendClass::Unsent,
            CallFailure { kind: FailureKind::TooManyOpen, .. } => SendClass::Unsent,
            _ => SendClass::Broken,
        }
    }
}

/// Whether a status neither is a success nor promises callers that the request hasn't run.
fn promises_nothing(status: StatusCode) -> bool {
    let is_refusal = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    !status.is_success() && !is_refusal
}
