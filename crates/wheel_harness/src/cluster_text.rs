//! The operators' text of a local system.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wheel_manifest::{DeploymentManifest, UpstreamSpec};
use wheel_types::{CentreName, InstanceName, UpstreamName};

use crate::HarnessError;

/// A text whose upstreams are started here, on ports of their own.
#[derive(Clone, Debug)]
pub struct ClusterText {
    source: String,
    text: DeploymentManifest,
}

impl ClusterText {
    /// Parses a text.
    ///
    /// # Errors
    /// [`HarnessError::Text`] if it has faults.
    pub fn parse(source: &str) -> Result<Self, HarnessError> {
        let text = DeploymentManifest::parse(source).map_err(|faults| HarnessError::Text {
            faults: faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
        })?;
        Ok(Self { source: source.to_owned(), text })
    }

    /// The group's name.
    pub fn group(&self) -> &str {
        &self.text.group
    }

    /// The checked text.
    pub fn text(&self) -> &DeploymentManifest {
        &self.text
    }

    /// The source, with each upstream's address replaced by where it really listens.
    pub fn source_at(&self, addresses: &BTreeMap<UpstreamName, SocketAddr>) -> String {
        let mut source = self.source.clone();
        for upstream in &self.text.upstreams {
            if let Some(address) = addresses.get(&upstream.name) {
                let listed = format!("\"{}\"", upstream.address);
                source = source.replacen(&listed, &format!("\"{address}\""), 1);
            }
        }
        source
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &[UpstreamSpec] {
        &self.text.upstreams
    }

    /// The instances that grant leases and `extra` more in each data centre, with their data
    /// centres.
    pub fn instances(&self, extra: usize) -> Vec<(InstanceName, CentreName)> {
        let mut instances = Vec::new();
        for centre in &self.text.centres {
            let grantors = centre.grantors.iter().cloned();
            let others =
                (1..=extra).map(|n| InstanceName::new(format!("{}-extra{n}", centre.name)));
            let names = grantors.chain(others);
            instances.extend(names.map(|name| (name, centre.name.clone())));
        }
        instances
    }
}
