//! The manifest of a local system.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wheel_manifest::{DeploymentManifest, UpstreamSpec};
use wheel_types::{CentreName, InstanceName, UpstreamName};

use crate::HarnessError;

/// A manifest whose upstreams are started by the harness, each on a free port.
#[derive(Clone, Debug)]
pub struct ClusterManifest {
    source: String,
    manifest: DeploymentManifest,
}

impl ClusterManifest {
    /// Parses and checks a manifest.
    ///
    /// # Errors
    /// [`HarnessError::Manifest`] if the manifest is invalid.
    pub fn parse(source: &str) -> Result<Self, HarnessError> {
        let manifest =
            DeploymentManifest::parse(source).map_err(|faults| HarnessError::Manifest {
                faults: faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
            })?;
        Ok(Self { source: source.to_owned(), manifest })
    }

    /// The group's name.
    pub fn group(&self) -> &str {
        &self.manifest.group
    }

    /// The checked manifest.
    pub fn manifest(&self) -> &DeploymentManifest {
        &self.manifest
    }

    /// The source, with each upstream's address replaced by the one it actually listens on.
    pub fn source_at(&self, addresses: &BTreeMap<UpstreamName, SocketAddr>) -> String {
        let mut source = self.source.clone();
        for upstream in &self.manifest.upstreams {
            if let Some(address) = addresses.get(&upstream.name) {
                let listed = format!("\"{}\"", upstream.address);
                source = source.replacen(&listed, &format!("\"{address}\""), 1);
            }
        }
        source
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &[UpstreamSpec] {
        &self.manifest.upstreams
    }

    /// The lease grantors and `extra` more instances in each data centre, each with its data
    /// centre.
    pub fn instances(&self, extra: usize) -> Vec<(InstanceName, CentreName)> {
        let mut instances = Vec::new();
        for centre in &self.manifest.centres {
            let grantors = centre.grantors.iter().cloned();
            let others =
                (1..=extra).map(|n| InstanceName::new(format!("{}-extra{n}", centre.name)));
            let names = grantors.chain(others);
            instances.extend(names.map(|name| (name, centre.name.clone())));
        }
        instances
    }
}
