//! Routes of a configuration document, and the fleet of upstreams that they lead to.
//!
//! A [`FleetConfig`] is a complete configuration; [`RouteTable`] finds the route of a request in
//! it. [`FleetView`] is a snapshot of what is known about the upstreams. [`SyncRequest`] and
//! [`SyncAnswer`] carry its changes and the version of the newest configuration between instances,
//! [`DocumentRequest`] and [`DocumentPart`] its document. [`ViewLedger`] and [`HeldView`] turn views
//! into changes and back.

mod allowance_message;
mod config_change;
mod config_check;
mod config_entry;
mod config_error;
mod config_proof;
mod config_warning;
mod demand_count;
mod document_message;
mod engine_info;
mod engine_profile;
mod engine_speed;
mod fleet_config;
mod fleet_service;
mod fleet_view;
mod held_view;
mod ingress_limits;
mod key_digest;
mod route_kind;
mod route_spec;
mod route_table;
mod sync_message;
mod team_allowance;
mod team_spec;
mod team_table;
mod upstream_crash;
mod upstream_limit;
mod view_ledger;
mod view_update;

pub use allowance_message::{
    AllowanceDemand, AllowanceGrant, AllowanceReply, AllowanceRequest, AllowanceWait,
};
pub use config_change::ConfigChange;
pub use config_check::ConfigCheck;
pub use config_entry::ConfigEntry;
pub use config_error::ConfigError;
pub use config_proof::ConfigProof;
pub use config_warning::ConfigWarning;
pub use demand_count::{DemandCount, DemandKey};
pub use document_message::{DocumentPart, DocumentRequest, TransferId, TransferProgress};
pub use engine_info::{EngineId, EngineInfo, HeldModel, UpstreamState};
pub use engine_profile::{EngineProfile, ModelProfile};
pub use engine_speed::{EngineSpeed, RateReport, ServiceRates, SpeedReport};
pub use fleet_config::FleetConfig;
pub use fleet_service::FleetService;
pub use fleet_view::FleetView;
pub use held_view::HeldView;
pub use ingress_limits::IngressLimits;
pub use key_digest::KeyDigest;
pub use route_kind::RouteKind;
pub use route_spec::{RouteSpec, RouteTarget};
pub use route_table::RouteTable;
pub use sync_message::{ControlEndpoint, OpenRequestCount, SyncAnswer, SyncReply, SyncRequest};
pub use team_allowance::{AllowanceUnit, TeamAllowance};
pub use team_spec::TeamSpec;
pub use team_table::TeamTable;
pub use upstream_crash::{BarredPart, CrashedPart, SoundPart, UpstreamCrash};
pub use upstream_limit::{LimitDemand, LimitGrant, LimitReport, UpstreamLimit};
pub use view_ledger::ViewLedger;
pub use view_update::{PlacedCount, PlacedSpeed, ViewStamp, ViewUpdate};
