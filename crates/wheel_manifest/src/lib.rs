//! Parses, checks and compares the operators' manifest.
//!
//! [`DeploymentManifest`] is the checked form that other crates read, and [`ManifestIndex`] looks
//! entries up by name; each fault in a manifest is reported as a [`ManifestFault`]. New revisions
//! are sent to the instances as a [`ManifestDelta`].

mod active_manifest;
mod adapter_spec;
mod caller_identity;
mod caller_spec;
mod centre_spec;
mod cycle_check;
mod deployment_manifest;
mod fault_list;
mod field_rule;
mod fit_check;
mod limit_check;
mod link_spec;
mod manifest_delta;
mod manifest_fault;
mod manifest_hash;
mod manifest_index;
mod model_spec;
mod name_check;
mod near_name;
mod path_check;
mod rank_spec;
mod role_check;
mod service_spec;
mod shape_check;
mod spanned_entry;
mod spanned_manifest;
mod store_limits;
mod upstream_spec;

pub use active_manifest::ActiveManifest;
pub use adapter_spec::AdapterSpec;
pub use caller_identity::CallerIdentity;
pub use caller_spec::CallerSpec;
pub use centre_spec::CentreSpec;
pub use deployment_manifest::{DeploymentManifest, MAX_MANIFEST_BYTES};
pub use fault_list::MAX_FAULTS;
pub use limit_check::MAX_GRANTORS;
pub use link_spec::LinkSpec;
pub use manifest_delta::{DeltaError, DeltaHunk, ManifestDelta};
pub use manifest_fault::ManifestFault;
pub use manifest_hash::ManifestHash;
pub use manifest_index::ManifestIndex;
pub use model_spec::ModelSpec;
pub use rank_spec::RankSpec;
pub use service_spec::ServiceSpec;
pub use shape_check::MAX_NAME_BYTES;
pub use store_limits::StoreLimits;
pub use upstream_spec::{UpstreamKind, UpstreamSpec};
