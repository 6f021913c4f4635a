//! Routes a request from the ingress instance through the owner to the upstream.
//!
//! At the ingress, [`RequestPipeline`] finds a replica in the [`ReplicaDirectory`], or requests one
//! through the [`DemandTracker`], and relays the request to the upstream's owner. At the owner, the
//! [`OwnerTable`] queues it for a slot and calls the upstream; [`RelayService`] accepts what other
//! ingress instances relay.
//!
//! Lock order: no lock of this crate is held while another is taken, except that of
//! [`DrainingReplicas`], which comes last.

mod call_cost;
mod claim_store;
mod claimed_call;
mod decision_log;
mod demand_tracker;
mod draining_replicas;
mod engine_watch;
mod generate_run;
mod leaving_set;
mod owned_answer;
mod owned_upstream;
mod owner_route;
mod owner_table;
mod plain_run;
mod process_clock;
mod relay_call;
mod relay_clients;
mod relay_headers;
mod relay_key;
mod relay_refusal;
mod relay_service;
mod replica_directory;
mod report_message;
mod request_pipeline;
mod sent_request;
mod slot_guard;
mod slot_queue;
mod upstream_rest;
mod usage_table;

pub use call_cost::CallCost;
pub use claim_store::{ClaimError, ClaimStore};
pub use decision_log::{DecisionLog, DecisionRecord};
pub use demand_tracker::{DemandGuard, DemandTracker};
pub use draining_replicas::DrainingReplicas;
pub use leaving_set::LeavingSet;
pub use owned_upstream::OwnedUpstream;
pub use owner_route::OwnerRoute;
pub use owner_table::{OwnerSettings, OwnerTable};
pub use process_clock::ProcessClock;
pub use relay_call::RelayCall;
pub use relay_clients::RelayClients;
pub use relay_key::RelayKey;
pub use relay_service::RelayService;
pub use replica_directory::ReplicaDirectory;
pub use report_message::{DrainNotice, ReportList, ReportMessage, ReportSink};
pub use request_pipeline::{PipelineContext, RequestPipeline};
pub use slot_guard::SlotGuard;
pub use slot_queue::SlotQueue;
pub use usage_table::{UsageGuard, UsageTable};
