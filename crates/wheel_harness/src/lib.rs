//! Starts complete systems on loopback: the daemons and the fakes, each in its own process.
//!
//! [`LocalCluster`] starts everything that a manifest lists and kills it when it is dropped.

mod child_process;
mod cluster_manifest;
mod free_ports;
mod harness_error;
mod http_client;
mod link_rate;
mod link_relay;
mod local_cluster;
mod local_instance;
mod port_block;
mod program_path;

pub use child_process::{ChildProcess, ProcessSignal};
pub use cluster_manifest::ClusterManifest;
pub use free_ports::FreePorts;
pub use harness_error::HarnessError;
pub use http_client::{HttpClient, HttpReply};
pub use link_rate::LinkRate;
pub use link_relay::{LinkRelay, LinkState};
pub use local_cluster::{ClusterSettings, LocalCluster};
pub use local_instance::{InstancePorts, LocalInstance};
pub use port_block::PortBlock;
pub use program_path::ProgramPath;
