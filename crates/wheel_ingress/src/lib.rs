//! The HTTP server for callers and operators.
//!
//! [`HttpServer`] accepts connections within [`HttpLimits`] and drains them gracefully.
//! [`CallerService`] converts a caller's HTTP request to a typed [`CallerRequest`] and passes it to
//! a [`RequestHandler`]; [`AdminService`] does the same for operators with an [`AdminHandler`].

mod admin_handler;
mod admin_service;
mod answer_body;
mod answer_guard;
mod body_reader;
mod caller_answer;
mod caller_request;
mod caller_resolver;
mod caller_service;
mod caller_stream;
mod closed_body;
mod connection_activity;
mod drain_deadline;
mod generate_body;
mod http_limits;
mod http_server;
mod manifest_source;
mod open_answer;
mod read_pace;
mod request_handler;
mod request_metrics;
mod request_refusal;

mod head_meter;
pub mod header_names;

pub use admin_handler::{AdminHandler, AdminReply, ApplyRequest};
pub use admin_service::{AdminService, AdminSettings};
pub use answer_body::{AnswerBody, AnswerError, empty_body, full_body};
pub use body_reader::read_body;
pub use caller_answer::CallerAnswer;
pub use caller_request::{CallerRequest, GenerateTarget, PlainTarget, RequestTarget};
pub use caller_service::{CallerService, CallerSettings};
pub use drain_deadline::DrainDeadline;
pub use http_limits::HttpLimits;
pub use http_server::{HttpError, HttpServer};
pub use manifest_source::ManifestSource;
pub use read_pace::ReadDeadline;
pub use request_handler::RequestHandler;
pub use request_metrics::RequestMetrics;
pub use request_refusal::{RefusalCode, RequestRefusal};
