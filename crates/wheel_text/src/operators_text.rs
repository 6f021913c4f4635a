//! The checked form of the operators' text.

use serde::{Deserialize, Serialize};

use crate::{
    AdapterSpec, CallerIdentity, CallerSpec, CentreSpec, LinkSpec, ModelSpec, RankSpec,
    ServiceSpec, StoreLimits, TextFault, UpstreamSpec,
};

/// Everything that operators decide, as one value.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsText {
    /// The group's name; instances of another group are refused.
    pub group: String,
    /// How callers are told apart.
    #[serde(default)]
    pub identity: CallerIdentity,
    /// Limits of the weight store and of adapter loads, for all data centres together.
    #[serde(default)]
    pub store: StoreLimits,
    /// Ranks, most urgent first.
    #[serde(default, rename = "rank")]
    pub ranks: Vec<RankSpec>,
    /// Data centres.
    #[serde(default, rename = "data_centre")]
    pub centres: Vec<CentreSpec>,
    /// Links between data centres; a pair that isn't named has [`LinkSpec::default`]'s figures.
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

impl OperatorsText {
    /// Parses and checks a text.
    ///
    /// # Errors
    /// Every fault that was found, in the order of the text.
    pub fn parse(source: &str) -> Result<Self, Vec<TextFault>> {
        toml::from_str(source).map_err(|error| vec![TextFault::from_toml(source, &error)])
    }
}
