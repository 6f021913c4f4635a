//! The operators' tool `wisteriactl`: checks and applies manifests, shows the active one, and reads
//! the state of instances.
//!
//! [`CtlSettings::parse`] reads flags and environment, and [`CtlRun`] executes the command over the
//! admin interface of an instance. A [`CtlFailure`] is a command's error, with its [`ExitStatus`].

mod admin_client;
mod admin_request;
mod apply_run;
mod ctl_command;
mod ctl_failure;
mod ctl_flag;
mod ctl_output;
mod ctl_run;
mod ctl_settings;
mod exit_status;
mod fault_report;
mod request_timeline;
mod status_report;

pub use admin_client::AdminClient;
pub use admin_request::{AdminAnswer, AdminRequest};
pub use ctl_command::{ApplyArguments, CtlCommand};
pub use ctl_failure::CtlFailure;
pub use ctl_flag::help_text;
pub use ctl_output::CtlOutput;
pub use ctl_run::CtlRun;
pub use ctl_settings::{CtlSettings, ParsedArguments};
pub use exit_status::ExitStatus;
pub use fault_report::FaultReport;
pub use request_timeline::RequestTimeline;
pub use status_report::{EngineStatus, InstanceStatus, ModelStatus, StatusReport};
