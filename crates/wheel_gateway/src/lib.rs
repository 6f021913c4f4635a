//! An entry's way of a request by routes.
//!
//! [`RequestPath`] answers callers' requests from what [`FleetState`] holds: the configuration in
//! force, the fleet, and what is under way from here. [`IngressDialect`] is what callers and upstreams
//! speak.

mod active_config;
mod event_splitter;
mod fleet_state;
mod ingress_dialect;
mod ingress_request;
mod load_guard;
mod own_answer;
mod path_parts;
mod path_settings;
mod request_end;
mod request_log;
mod request_path;
mod request_run;
mod resumed_stream;
mod send_judge;
mod tried_upstreams;
mod upstream_search;
mod upstream_table;
mod wait_guard;

pub use active_config::ActiveConfig;
pub use event_splitter::EventSplitter;
pub use fleet_state::FleetState;
pub use ingress_dialect::{AnswerMark, IngressDialect, SendMark};
pub use ingress_request::{GenerationAsk, IngressRequest, PromptPart};
pub use load_guard::LoadGuard;
pub use path_settings::PathSettings;
pub use request_path::RequestPath;
pub use upstream_table::UpstreamTable;
