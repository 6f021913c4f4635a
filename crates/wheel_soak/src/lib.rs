//! A soak test of real processes under injected faults.
//!
//! Callers, stubs and operators record what they see in an [`ObservationSink`]; the
//! [`GuaranteeChecker`] finds violations of the system's guarantees in it.

mod answer_head;
mod answer_phase;
mod call_plan;
mod call_record;
mod caller_connection;
mod caller_habit;
mod caller_settings;
mod change_tracker;
mod config_document;
mod event_sequence;
mod failed_call;
mod fault_driver;
mod fault_history;
mod fault_kind;
mod fault_plan;
mod fault_table;
mod guarantee_bounds;
mod guarantee_checker;
mod guarantee_violation;
mod head_part;
mod key_caller;
mod key_tracker;
mod list_stub;
mod log_coverage;
mod member_check;
mod observation;
mod operator_client;
mod order_tracker;
mod planned_answer;
mod platform_headers;
mod process_tracker;
mod report_chart;
mod resume_answer;
mod run_guard;
mod soak_caller;
mod soak_error;
mod soak_process;
mod soak_report;
mod soak_run;
mod soak_system;
mod system_guarantee;
mod team_key;
mod upstream_fault;
mod upstream_shared;
mod upstream_state;
mod upstream_stub;
mod wire_answer;
mod wire_caller;
mod wire_plan;
mod wire_request;
mod wire_server;
mod write_notifier;

pub use answer_phase::AnswerPhase;
pub use caller_habit::CallerHabit;
pub use caller_settings::{CallRoute, CallerSettings};
pub use config_document::{
    CLOSED_PREFIX, ConfigDocument, IDEMPOTENT_PREFIX, LIMITED_PREFIX, LOADS_PER_S, MODEL_PREFIX,
    MODELS, ONCE_PREFIX, RESUMABLE_PREFIX, ROUTE_HOST,
};
pub use failed_call::FailedCall;
pub use fault_driver::FaultDriver;
pub use fault_kind::{FaultKind, FaultTarget, PlannedFault};
pub use fault_plan::{FaultPlan, PlanScope};
pub use guarantee_bounds::GuaranteeBounds;
pub use guarantee_checker::GuaranteeChecker;
pub use guarantee_violation::GuaranteeViolation;
pub use head_part::HeadPart;
pub use key_caller::KeyCaller;
pub use list_stub::{ListFault, ListStub, OddEntry};
pub use log_coverage::{CoverageFailure, LogCoverage};
pub use member_check::check_membership;
pub use observation::{CallEnd, CallKind, Observation, ObservationSink, SeenEvent, SeenOrder};
pub use operator_client::OperatorClient;
pub use resume_answer::ResumeAnswer;
pub use soak_caller::SoakCaller;
pub use soak_error::SoakError;
pub use soak_process::{ProcessFiles, SoakProcess};
pub use soak_report::{ReportFailure, SoakReport};
pub use soak_run::{FAULT_FREE_TIME, RunOutcome, RunSettings, run_soak};
pub use soak_system::{CONTROL_COUNT, GRACE, LEASE, SoakSystem};
pub use system_guarantee::SystemGuarantee;
pub use team_key::TeamKey;
pub use upstream_fault::UpstreamFault;
pub use upstream_stub::UpstreamStub;
pub use wire_caller::WireCaller;
