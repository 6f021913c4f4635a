//! Serves operators on a control instance of a fleet with service discovery.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use spdlog::info;
use wheel_ingress::{AnswerBody, DrainDeadline, HttpLimits, full_body, read_body};
use wheel_placement::{ConfigService, PutOutcome};

use crate::fleet_ingress::status_answer;
use crate::{OperatorCall, OperatorDialect};

/// Answers operators' calls.
#[derive(Clone)]
pub(crate) struct OperatorService {
    pub(crate) configs: Arc<ConfigService>,
    pub(crate) dialect: Arc<dyn OperatorDialect>,
    pub(crate) limits: HttpLimits,
    pub(crate) drain: DrainDeadline,
}

impl OperatorService {
    /// Answers one call, no later than the end of the drain.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let drain = self.drain.clone();
        tokio::select! {
            biased;
            response = self.answer_call(request) => response,
            () = drain.passed() => {
                info!("operators_call_cut");
                status_answer(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }

    async fn answer_call(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = request.into_parts();
        match self.dialect.read(&head) {
            OperatorCall::PutConfig => match read_body(body, &self.limits).await {
                Ok(bytes) => put_answer(self.configs.put(bytes).await),
                Err(refusal) => status_answer(refusal.code.status()),
            },
            OperatorCall::GetConfig => match self.configs.read().await {
                Ok(Some(document)) => json_answer(Bytes::copy_from_slice(&document.bytes)),
                Ok(None) => status_answer(StatusCode::NOT_FOUND),
                Err(()) => {
                    info!("config_read_unsure");
                    status_answer(StatusCode::SERVICE_UNAVAILABLE)
                }
            },
            _ => status_answer(StatusCode::NOT_FOUND),
        }
    }
}

fn put_answer(outcome: PutOutcome) -> Response<AnswerBody> {
    match outcome {
        PutOutcome::Accepted => status_answer(StatusCode::OK),
        PutOutcome::Invalid(fault) => {
            let mut response = Response::new(full_body(format!("{fault}\n")));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
        PutOutcome::Unresolved { reason } => {
            let mut response = Response::new(full_body(format!("{reason}\n")));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}

fn json_answer(bytes: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(bytes));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
