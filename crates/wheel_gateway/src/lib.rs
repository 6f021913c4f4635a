//! Request proxying of an ingress instance.
//!
//! [`RequestProxy`] sends callers' requests to upstreams according to [`FleetState`]: the
//! configuration in force, the fleet, and the requests that this instance has open. An
//! [`IngressDialect`] defines the formats that callers and upstreams use.

mod active_config;
mod allowance_gate;
mod allowance_table;
mod arrived_request;
mod blocked_time;
mod crash_reports;
mod engine_candidates;
mod engine_measures;
mod event_fields;
mod event_splitter;
mod fleet_state;
mod hold_samples;
mod ingress_dialect;
mod ingress_request;
mod limit_wait;
mod load_wait;
mod local_answer;
mod media_type;
mod no_upstream;
mod proxy_context;
mod proxy_settings;
mod request_dispatcher;
mod request_end;
mod request_guard;
mod request_identity;
mod request_log;
mod request_proxy;
mod request_run;
mod resumed_stream;
mod room_gate;
mod room_wait;
mod send_classifier;
mod send_ledger;
mod stall_watch;
mod stay_reason;
mod stream_reader;
mod tried_upstreams;
mod upstream_search;
mod upstream_send;
mod upstream_table;
mod wait_guard;

pub use active_config::ActiveConfig;
pub use allowance_table::AllowanceTable;
pub use event_splitter::EventSplitter;
pub use fleet_state::FleetState;
pub use ingress_dialect::{
    AnswerClass, ForwardHeaders, ForwardIdentity, IngressDialect, NamedLimit,
};
pub use ingress_request::{Credential, GenerationRequest, IngressRequest, PromptPart};
pub use proxy_settings::ProxySettings;
pub use request_guard::RequestGuard;
pub use request_proxy::RequestProxy;
pub use upstream_table::UpstreamTable;
