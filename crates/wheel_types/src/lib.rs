//! Types shared by all crates of wisteriawheel: names, ranks, revisions, fencing numbers, outcomes
//! and the state that engines report.
//!
//! All of them are small values without behaviour beyond validation and formatting. The crates
//! above this one share these types and no others.

mod adapter_state;
mod demand_report;
mod engine_call;
mod engine_order;
mod engine_report;
mod engine_role;
mod engine_state;
mod fencing_number;
mod incarnation_id;
mod load_report;
mod manifest_revision;
mod model_change;
mod model_state;
mod monotonic_time;
mod names;
mod order_action;
mod order_reply;
mod raw_entries;
mod request_id;
mod request_outcome;
mod request_rank;

pub use adapter_state::AdapterState;
pub use demand_report::{DemandEntry, DemandReply, DemandReport};
pub use engine_call::EngineCall;
pub use engine_order::EngineOrder;
pub use engine_report::{EngineReport, ModelUsage};
pub use engine_role::EngineRole;
pub use engine_state::EngineState;
pub use fencing_number::FencingNumber;
pub use incarnation_id::IncarnationId;
pub use load_report::LoadReport;
pub use manifest_revision::ManifestRevision;
pub use model_change::ModelChange;
pub use model_state::{ModelPhase, ModelState};
pub use monotonic_time::MonotonicTime;
pub use names::{
    AdapterName, CallerName, CentreName, InstanceName, ModelName, RegionName, ServiceName,
    UpstreamName,
};
pub use order_action::OrderAction;
pub use order_reply::{OrderReason, OrderReply};
pub use raw_entries::RawEntries;
pub use request_id::RequestId;
pub use request_outcome::RequestOutcome;
pub use request_rank::RequestRank;
