//! Turns the outcome of a request into the answer to its caller.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use rand::Rng;
use tokio::time::Instant;
use wheel_ingress::{AnswerBody, full_body};
use wheel_policy::retry_time;
use wheel_seams::is_planted;

use crate::allowance_gate::AllowanceRefusal;
use crate::local_answer::refusal;
use crate::media_type::MediaType;
use crate::no_upstream::NoUpstream;
use crate::request_run::{HeldStream, RequestRun, ServeOutcome};
use crate::resumed_stream::ResumedStream;
use crate::upstream_search::{CAPACITY_RETRY, MIN_ANSWER_TIME};

/// The largest share of a caller's remaining time that callers still honour in a `Retry-After`.
const HONOURED_SHARE: f64 = 0.33;
/// Shortest `Retry-After` of a request beyond its team's allowance: what other requests leave of the
/// next grants is known after two syncs.
const MIN_ALLOWANCE_RETRY: Duration = Duration::from_millis(400);

/// Answers a request, at the latest at the drain deadline.
pub(crate) async fn answer_request(mut run: RequestRun) -> Response<AnswerBody> {
    match run.serve().await {
        ServeOutcome::Complete(response) => response,
        ServeOutcome::Stream(held) => forward_stream(run, *held),
        ServeOutcome::NoUpstream(none) => refuse(run, &none),
        ServeOutcome::OverAllowance(refusal) => refuse_allowance(run, refusal),
        ServeOutcome::NoAnswer => give_up(run),
        ServeOutcome::Drained => end_drained(run),
    }
}

/// Forwards a stream as it arrives.
fn forward_stream(mut run: RequestRun, held: HeldStream) -> Response<AnswerBody> {
    run.ledger.log.forwarded_head();
    run.ledger.log.answered(held.status, "stream_cut");
    let media_type = MediaType::of(&held.headers);
    let stream = ResumedStream::begin(run, held.reader, media_type);
    let mut response = Response::new(stream.into_body());
    *response.status_mut() = held.status;
    *response.headers_mut() = held.headers;
    if is_planted("queued_request_dropped") {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The answer to a request for which no upstream was found.
fn refuse(mut run: RequestRun, none: &NoUpstream) -> Response<AnswerBody> {
    if run.ledger.possible_runs > 0 {
        return give_up(run);
    }
    run.ledger.refund_charge();
    let left = run.ledger.arrived.deadline.saturating_duration_since(Instant::now());
    let jitter = rand::rng().random_range(0.8..1.0);
    run.ledger.log.answered(StatusCode::SERVICE_UNAVAILABLE, none.reason);
    let retry_after = if run.ledger.context.settings.waits_for_room {
        let rank = run.ledger.arrived.identity.rank;
        retry_time(none.retry_after, left.mul_f64(HONOURED_SHARE), rank, rand::rng().random())
    } else {
        let limit = left.mul_f64(HONOURED_SHARE * jitter);
        none.retry_after.mul_f64(2.0 - jitter).min(limit)
    };
    let eta_ms = none.eta.map_or("unknown".to_owned(), |eta| eta.as_millis().to_string());
    let inputs = format!(
        "{}, eta_ms {eta_ms}, left_ms {}, tried {}, retry_after_ms {}",
        none.reason,
        left.as_millis(),
        run.ledger.tried.len(),
        retry_after.as_millis()
    );
    run.ledger.log.step("refused", &inputs);
    refusal(StatusCode::SERVICE_UNAVAILABLE, none.reason, Some(retry_after))
}

/// The answer to a request that its team's allowance doesn't permit in time.
fn refuse_allowance(mut run: RequestRun, refused: AllowanceRefusal) -> Response<AnswerBody> {
    let left = run.ledger.arrived.deadline.saturating_duration_since(Instant::now());
    let jitter = rand::rng().random_range(0.8..1.0);
    let limit = left.mul_f64(HONOURED_SHARE * jitter);
    let expected = refused.retry_after.max(MIN_ALLOWANCE_RETRY).min(left);
    let retry_after = expected.mul_f64(2.0 - jitter).min(limit);
    let (status, reason) = (StatusCode::TOO_MANY_REQUESTS, "over_allowance");
    run.ledger.log.answered(status, reason);
    let inputs = format!(
        "{reason}, expected_ms {}, left_ms {}, retry_after_ms {}",
        refused.retry_after.as_millis(),
        left.as_millis(),
        retry_after.as_millis()
    );
    run.ledger.log.step("refused", &inputs);
    refusal(status, reason, Some(retry_after))
}

/// The answer to a request whose sends all failed and that isn't sent again.
fn give_up(mut run: RequestRun) -> Response<AnswerBody> {
    let is_late = Instant::now() + MIN_ANSWER_TIME / 2 >= run.ledger.arrived.deadline;
    match run.ledger.possible_runs {
        0 => {
            let none = NoUpstream::new("rejected_everywhere", run.ledger.search().retry_after());
            refuse(run, &none)
        }
        _ => {
            let status = match is_late {
                _ if is_planted("refuse_after_send") => StatusCode::SERVICE_UNAVAILABLE,
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            };
            run.ledger.log.answered(status, "upstream_failed");
            refusal(status, "the upstream gave no answer", None)
        }
    }
}

/// The answer to a request that is still open at the drain deadline.
fn end_drained(mut run: RequestRun) -> Response<AnswerBody> {
    run.ledger.log.open_at_drain_deadline();
    if run.ledger.is_sending {
        run.ledger.possible_runs += 1;
    }
    match run.failure.take() {
        Some(response) => response.map(full_body),
        None if run.ledger.possible_runs == 0 => {
            refuse(run, &NoUpstream::new("draining", CAPACITY_RETRY))
        }
        None => {
            run.ledger.log.answered(StatusCode::GATEWAY_TIMEOUT, "drain_ended");
            refusal(StatusCode::GATEWAY_TIMEOUT, "the instance ends", None)
        }
    }
}
