//! A soak of real processes under faults from outside.
//!
//! Callers, stand-ins and the operator tell an [`ObservationSink`] what they see; the checker judges it.

mod config_document;
mod fault_driver;
mod fault_kind;
mod fault_plan;
mod list_stand_in;
mod observation;
mod operator_side;
mod plain_caller;
mod soak_error;
mod soak_process;
mod soak_run;
mod soak_system;
mod upstream_stand_in;
mod upstream_state;
mod wire_request;
mod wire_server;

pub use config_document::{
    CLOSED_PREFIX, ConfigDocument, IDEMPOTENT_PREFIX, LOADS_PER_S, MODEL_PREFIX, MODELS,
    ONCE_PREFIX, RESUMABLE_PREFIX, ROUTE_HOST,
};
pub use fault_driver::FaultDriver;
pub use fault_kind::{FaultKind, FaultTarget, PlannedFault};
pub use fault_plan::{FaultPlan, PlanScope};
pub use list_stand_in::{ListFault, ListStandIn};
pub use observation::{CallEnd, CallKind, Observation, ObservationSink, SeenEvent, SeenOrder};
pub use operator_side::OperatorSide;
pub use plain_caller::PlainCaller;
pub use soak_error::SoakError;
pub use soak_process::{ProcessFiles, SoakProcess};
pub use soak_run::{CALM_TIME, RunOutcome, RunSettings, run_soak};
pub use soak_system::{CONTROL_COUNT, GRACE, LEASE, SoakSystem};
pub use upstream_stand_in::{UpstreamFault, UpstreamStandIn};
