//! A soak of real processes under faults from outside.
//!
//! Callers, stand-ins and the operator tell an [`ObservationSink`] what they see; the checker judges it.

mod call_plan;
mod call_record;
mod caller_settings;
mod change_watch;
mod config_document;
mod event_series;
mod failed_call;
mod fault_driver;
mod fault_history;
mod fault_kind;
mod fault_plan;
mod kept_connection;
mod list_stand_in;
mod log_coverage;
mod observation;
mod operator_side;
mod order_watch;
mod platform_headers;
mod process_watch;
mod promise_bounds;
mod promise_checker;
mod promise_violation;
mod report_picture;
mod sent_notice;
mod soak_caller;
mod soak_error;
mod soak_process;
mod soak_promise;
mod soak_report;
mod soak_run;
mod soak_system;
mod upstream_stand_in;
mod upstream_state;
mod wire_request;
mod wire_server;

pub use caller_settings::{CallRoute, CallerSettings};
pub use config_document::{
    CLOSED_PREFIX, ConfigDocument, IDEMPOTENT_PREFIX, LOADS_PER_S, MODEL_PREFIX, MODELS,
    ONCE_PREFIX, RESUMABLE_PREFIX, ROUTE_HOST,
};
pub use failed_call::FailedCall;
pub use fault_driver::FaultDriver;
pub use fault_kind::{FaultKind, FaultTarget, PlannedFault};
pub use fault_plan::{FaultPlan, PlanScope};
pub use list_stand_in::{ListFault, ListStandIn};
pub use log_coverage::{CoverageFailure, LogCoverage};
pub use observation::{CallEnd, CallKind, Observation, ObservationSink, SeenEvent, SeenOrder};
pub use operator_side::OperatorSide;
pub use promise_bounds::PromiseBounds;
pub use promise_checker::PromiseChecker;
pub use promise_violation::PromiseViolation;
pub use soak_caller::SoakCaller;
pub use soak_error::SoakError;
pub use soak_process::{ProcessFiles, SoakProcess};
pub use soak_promise::SoakPromise;
pub use soak_report::{ReportFailure, SoakReport};
pub use soak_run::{CALM_TIME, RunOutcome, RunSettings, run_soak};
pub use soak_system::{CONTROL_COUNT, GRACE, LEASE, SoakSystem};
pub use upstream_stand_in::{UpstreamFault, UpstreamStandIn};
