//! Turns the end of a request's way into its caller's answer.

use http::{Response, StatusCode, header};
use rand::Rng;
use tokio::time::Instant;
use wheel_ingress::AnswerBody;
use wheel_seams::is_planted;
use wheel_upstream::ServiceAnswer;

use crate::LoadGuard;
use crate::own_answer::refusal;
use crate::request_log::RequestPhase;
use crate::request_run::{RequestRun, ServeEnd};
use crate::resumed_stream::ResumedStream;
use crate::upstream_search::{MIN_ANSWER_TIME, NoUpstream, ROOM_RETRY};

/// The share of a caller's time left that a `Retry-After` may ask for and is still honoured.
const HONOURED_SHARE: f64 = 0.33;

/// Answers a request, at the latest when the instance has to end.
pub(crate) async fn answer_request(mut run: RequestRun) -> Response<AnswerBody> {
    match run.serve().await {
        ServeEnd::Whole(response) => response,
        ServeEnd::Stream(answer, guard) => pass_stream(run, *answer, guard),
        ServeEnd::NoUpstream(none) => refuse(run, &none),
        ServeEnd::NoAnswer => give_up(run),
        ServeEnd::Drained => end_drained(run),
    }
}

/// Passes a stream on as it comes.
fn pass_stream(
    mut run: RequestRun,
    answer: ServiceAnswer,
    guard: LoadGuard,
) -> Response<AnswerBody> {
    run.runs += 1;
    run.log.enter(RequestPhase::Answering);
    let ServiceAnswer { status, mut headers, body, .. } = answer;
    run.log.answered(status, "stream_cut");
    let is_resumable = run.arrived.route.kind.is_repeatable() && status.is_success();
    if is_resumable {
        headers.remove(header::CONTENT_LENGTH);
    }
    let last = run.arrived.ask.resume_after;
    let stream = ResumedStream::begin(run, body, guard, is_resumable, last);
    let mut response = Response::new(stream.into_body());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The answer to a request for which no upstream was found.
fn refuse(mut run: RequestRun, none: &NoUpstream) -> Response<AnswerBody> {
    if run.runs > 0 {
        return give_up(run);
    }
    let left = run.arrived.deadline.saturating_duration_since(Instant::now());
    let jitter = rand::rng().random_range(0.8..1.0);
    let longest = left.mul_f64(HONOURED_SHARE * jitter);
    run.log.answered(StatusCode::SERVICE_UNAVAILABLE, none.reason);
    let retry_after = none.retry_after.mul_f64(2.0 - jitter).min(longest);
    let eta_ms = none.eta.map_or("unknown".to_owned(), |eta| eta.as_millis().to_string());
    let inputs = format!(
        "{}, eta_ms {eta_ms}, left_ms {}, tried {}, retry_after_ms {}",
        none.reason,
        left.as_millis(),
        run.tried.len(),
        retry_after.as_millis()
    );
    run.log.step("refused", &inputs);
    refusal(StatusCode::SERVICE_UNAVAILABLE, none.reason, Some(retry_after))
}

/// The answer to a request that was sent in vain and isn't sent again.
fn give_up(mut run: RequestRun) -> Response<AnswerBody> {
    let is_late = Instant::now() + MIN_ANSWER_TIME / 2 >= run.arrived.deadline;
    match run.runs {
        0 => {
            let none = NoUpstream::new("rejected_everywhere", ROOM_RETRY);
            refuse(run, &none)
        }
        _ => {
            let status = match is_late {
                _ if is_planted("refuse_after_send") => StatusCode::SERVICE_UNAVAILABLE,
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            };
            run.log.answered(status, "upstream_failed");
            refusal(status, "the upstream gave no answer", None)
        }
    }
}

/// The answer to a request that is open when the instance has to end.
fn end_drained(mut run: RequestRun) -> Response<AnswerBody> {
    if run.is_sending {
        run.runs += 1;
    }
    match run.failure.take() {
        Some(response) => response,
        None if run.runs == 0 => refuse(run, &NoUpstream::new("draining", ROOM_RETRY)),
        None => {
            run.log.answered(StatusCode::GATEWAY_TIMEOUT, "drain_ended");
            refusal(StatusCode::GATEWAY_TIMEOUT, "the instance ends", None)
        }
    }
}
