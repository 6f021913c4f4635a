//! HTTP clients for upstreams: calls, streams, orders and connection health, built on hyper.
//!
//! Model engines are reached through an [`EngineClient`], plain services through a
//! [`ServiceClient`]. Both keep a small pool of HTTP/1.1 connections to one address and never send
//! a call twice: the caller decides whether to retry, from the [`CallFailure`], which says whether
//! a byte of the call may have been sent.
//!
//! The protocol of a real engine or service is one type that implements [`EngineDialect`] or
//! [`ServiceDialect`].

mod answer_body;
mod answer_framing;
mod arrival_clock;
mod asked_rest;
mod attempt_id;
mod cache_event;
mod call_body;
mod call_failure;
mod call_timeouts;
mod cancel_guard;
mod carried_calls;
mod client_status;
mod complete_answer;
mod connection_limits;
mod connection_pool;
mod direct_answer;
mod direct_client;
mod engine_client;
mod engine_dialect;
mod engine_probe;
mod engine_settings;
mod generate_call;
mod guarded_stream;
mod idle_probe;
mod order_call;
mod order_connection;
mod order_permit;
mod order_response;
mod pooled_call;
mod service_answer;
mod service_call;
mod service_client;
mod service_dialect;
mod service_probe;
mod service_settings;
mod token_stream;
mod upstream_connection;
mod wheel_dialect;

pub use answer_body::AnswerBody;
pub use answer_framing::AnswerFraming;
pub use arrival_clock::ArrivalClock;
pub use asked_rest::asked_rest;
pub use attempt_id::AttemptId;
pub use cache_event::{CacheEvent, CacheEventKind, CacheEvents};
pub use call_failure::{CallFailure, FailureKind, SentState};
pub use call_timeouts::CallTimeouts;
pub use client_status::ClientStatus;
pub use complete_answer::CompleteAnswer;
pub use connection_limits::ConnectionLimits;
pub use direct_answer::DirectAnswer;
pub use direct_client::DirectClient;
pub use engine_client::EngineClient;
pub use engine_dialect::{EngineDialect, TokenKey};
pub use engine_settings::EngineSettings;
pub use generate_call::{GenerateCall, GeneratePath};
pub use order_call::{OrderCall, OrderCallOutcome};
pub use order_permit::OrderPermit;
pub use order_response::OrderResponse;
pub use service_answer::ServiceAnswer;
pub use service_call::ServiceCall;
pub use service_client::ServiceClient;
pub use service_dialect::{PlainDialect, ServiceDialect, without_hop_headers};
pub use service_settings::ServiceSettings;
pub use token_stream::{StreamEvent, TokenEvent, TokenStream};
pub use wheel_dialect::WheelDialect;
