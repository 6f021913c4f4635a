//! A soak of real processes under faults from outside.
//!
//! Callers, stand-ins and the operator tell an [`ObservationSink`] what they see; the checker judges it.

mod call_plan;
mod call_record;
mod caller_settings;
mod change_watch;
mod event_series;
mod failed_call;
mod fault_history;
mod kept_connection;
mod log_coverage;
mod observation;
mod order_watch;
mod platform_headers;
mod process_watch;
mod promise_bounds;
mod promise_checker;
mod promise_violation;
mod report_picture;
mod sent_notice;
mod soak_caller;
mod soak_promise;
mod soak_report;

pub use caller_settings::{CallRoute, CallerSettings};
pub use failed_call::FailedCall;
pub use log_coverage::{CoverageFailure, LogCoverage};
pub use observation::{CallEnd, CallKind, Observation, ObservationSink, SeenEvent, SeenOrder};
pub use promise_bounds::PromiseBounds;
pub use promise_checker::PromiseChecker;
pub use promise_violation::PromiseViolation;
pub use soak_caller::SoakCaller;
pub use soak_promise::SoakPromise;
pub use soak_report::{ReportFailure, SoakReport};
