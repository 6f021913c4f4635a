//! The operators' text: parsed, checked and compared.
//!
//! [`OperatorsText`] is the checked form that everything else reads; [`TextDelta`] is how a new
//! revision travels to the instances.

mod adapter_spec;
mod caller_identity;
mod caller_spec;
mod centre_spec;
mod link_spec;
mod model_spec;
mod operators_text;
mod rank_spec;
mod service_spec;
mod serving_text;
mod store_limits;
mod text_delta;
mod text_fault;
mod text_hash;
mod upstream_spec;

pub use adapter_spec::AdapterSpec;
pub use caller_identity::CallerIdentity;
pub use caller_spec::CallerSpec;
pub use centre_spec::CentreSpec;
pub use link_spec::LinkSpec;
pub use model_spec::ModelSpec;
pub use operators_text::OperatorsText;
pub use rank_spec::RankSpec;
pub use service_spec::ServiceSpec;
pub use serving_text::ServingText;
pub use store_limits::StoreLimits;
pub use text_delta::{DeltaError, DeltaHunk, TextDelta};
pub use text_fault::TextFault;
pub use text_hash::TextHash;
pub use upstream_spec::{UpstreamKind, UpstreamSpec};
