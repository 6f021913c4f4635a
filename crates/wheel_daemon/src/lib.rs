//! The daemon `wisteriawheeld`: its settings, components and signals.
//!
//! [`DaemonSettings`] are read from flags and environment variables; [`RunningDaemon`] connects the
//! components and runs until it is drained.

mod admin_operations;
mod admin_query;
mod allowance_sync;
mod daemon_logs;
mod daemon_parts;
mod daemon_settings;
mod demand_sender;
mod director_bridge;
mod exit_status;
mod fleet_control;
mod fleet_dialects;
mod fleet_ingress;
mod fleet_parts;
mod fleet_router;
mod fleet_settings;
mod group_claim_store;
mod instance_directory;
mod instance_status;
mod leaving_list;
mod list_reader;
mod member_driver;
mod metrics_recorder;
mod operator_dialect;
mod operator_service;
mod peer_entry;
mod peer_metrics;
mod peer_router;
mod report_sender;
mod running_daemon;
mod running_fleet;
mod setting_fault;
mod setting_specs;
mod settings_reader;

pub use admin_operations::AdminOperations;
pub use admin_query::AdminQuery;
pub use daemon_logs::{start_logs, start_queued_logs};
pub use daemon_parts::DaemonParts;
pub use daemon_settings::DaemonSettings;
pub use exit_status::ExitStatus;
pub use fleet_dialects::FleetDialects;
pub use fleet_settings::{FleetBounds, FleetRole, FleetSettings, voters_for};
pub use group_claim_store::GroupClaimStore;
pub use instance_directory::InstanceDirectory;
pub use instance_status::InstanceStatus;
pub use leaving_list::LeavingList;
pub use member_driver::MemberDriver;
pub use metrics_recorder::{UPKEEP_INTERVAL, install_recorder};
pub use operator_dialect::{OperatorCall, OperatorDialect};
pub use peer_entry::PeerEntry;
pub use peer_router::PeerRouter;
pub use report_sender::ReportSender;
pub use running_daemon::{RunningDaemon, StartError};
pub use running_fleet::RunningFleet;
pub use setting_fault::SettingFault;
pub use settings_reader::{SettingsReader, SettingsRequest};
pub use wheel_policy::AllowanceBounds;
