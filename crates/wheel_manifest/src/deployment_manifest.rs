//! The checked form of the operators' manifest.

use serde::{Deserialize, Serialize};
use toml::de::DeTable;

use crate::cycle_check::CycleCheck;
use crate::fault_list::FaultList;
use crate::fit_check::FitCheck;
use crate::limit_check::LimitCheck;
use crate::name_check::NameCheck;
use crate::path_check::PathCheck;
use crate::role_check::RoleCheck;
use crate::spanned_manifest::SpannedManifest;
use crate::{
    AdapterSpec, CallerIdentity, CallerSpec, CentreSpec, LinkSpec, ManifestFault, ModelSpec,
    RankSpec, ServiceSpec, StoreLimits, UpstreamSpec,
};

/// All settings that operators declare for their deployment.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentManifest {
    /// The group's name; instances of other groups are refused.
    pub group: String,
    /// How callers are identified.
    #[serde(default)]
    pub identity: CallerIdentity,
    /// Limits of the weight store and of adapter loads, shared by all data centres.
    #[serde(default)]
    pub store: StoreLimits,
    /// Ranks, most urgent first.
    #[serde(default, rename = "rank")]
    pub ranks: Vec<RankSpec>,
    /// Data centres.
    #[serde(default, rename = "data_centre")]
    pub centres: Vec<CentreSpec>,
    /// Links between data centres; pairs that aren't listed use [`LinkSpec::default`].
    #[serde(default, rename = "link")]
    pub links: Vec<LinkSpec>,
    /// Callers.
    #[serde(default, rename = "caller")]
    pub callers: Vec<CallerSpec>,
    /// Engines and plain services' servers.
    #[serde(default, rename = "upstream")]
    pub upstreams: Vec<UpstreamSpec>,
    /// Models.
    #[serde(default, rename = "model")]
    pub models: Vec<ModelSpec>,
    /// Adapters.
    #[serde(default, rename = "adapter")]
    pub adapters: Vec<AdapterSpec>,
    /// Services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSpec>,
}

/// Longest manifest, in bytes.
pub const MAX_MANIFEST_BYTES: usize = 4 << 20;

impl DeploymentManifest {
    /// Parses and checks a manifest of [`MAX_MANIFEST_BYTES`] at most.
    ///
    /// # Errors
    /// All faults in the order of the manifest, up to [`MAX_FAULTS`](crate::MAX_FAULTS). A manifest
    /// that isn't valid TOML is checked no further.
    pub fn parse(source: &str) -> Result<Self, Vec<ManifestFault>> {
        let mut faults = FaultList::new(source);
        if source.len() > MAX_MANIFEST_BYTES {
            let problem = format!("the text has {} bytes", source.len());
            faults.add(0..0, problem, format!("keep it to {MAX_MANIFEST_BYTES} bytes"));
            return Err(faults.finish());
        }
        let (root, errors) = DeTable::parse_recoverable(source);
        for error in &errors {
            let span = error.span().unwrap_or_default();
            faults.add(span, error.message(), "correct the TOML at this place");
        }
        if !faults.is_empty() {
            return Err(faults.finish());
        }
        let manifest = SpannedManifest::read(root.get_ref(), &mut faults);
        check(&manifest, &mut faults);
        if faults.is_empty() { Ok(manifest.into_manifest()) } else { Err(faults.finish()) }
    }

    /// Parses a manifest that the group has accepted, without repeating the checks that it passed.
    ///
    /// # Errors
    /// The first place where the TOML is invalid or doesn't match a manifest's structure.
    pub fn parse_unchecked(source: &str) -> Result<Self, ManifestFault> {
        toml::from_str(source).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            ManifestFault::at(source, offset, error.message(), "correct the TOML at this place")
        })
    }
}

fn check(manifest: &SpannedManifest<'_>, faults: &mut FaultList<'_>) {
    NameCheck::new(manifest, faults).run();
    LimitCheck::new(manifest, faults).run();
    FitCheck::new(manifest, faults).run();
    RoleCheck::new(manifest, faults).run();
    PathCheck::new(manifest, faults).run();
    CycleCheck::new(manifest, faults).run();
}
