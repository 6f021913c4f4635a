//! The checked form of the operators' text.

use serde::{Deserialize, Serialize};
use toml::de::DeTable;

use crate::cycle_check::CycleCheck;
use crate::fault_list::FaultList;
use crate::fit_check::FitCheck;
use crate::limit_check::LimitCheck;
use crate::name_check::NameCheck;
use crate::path_check::PathCheck;
use crate::placed_text::PlacedText;
use crate::role_check::RoleCheck;
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

/// Longest text, in bytes.
pub const MAX_TEXT_BYTES: usize = 4 << 20;

impl OperatorsText {
    /// Parses and checks a text of [`MAX_TEXT_BYTES`] at most.
    ///
    /// # Errors
    /// Every fault that was found, in the order of the text, [`MAX_FAULTS`](crate::MAX_FAULTS) at
    /// most. A text that isn't TOML is checked no further.
    pub fn parse(source: &str) -> Result<Self, Vec<TextFault>> {
        let mut faults = FaultList::new(source);
        if source.len() > MAX_TEXT_BYTES {
            let problem = format!("the text has {} bytes", source.len());
            faults.add(0..0, problem, format!("keep it to {MAX_TEXT_BYTES} bytes"));
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
        let text = PlacedText::read(root.get_ref(), &mut faults);
        check(&text, &mut faults);
        if faults.is_empty() { Ok(text.into_text()) } else { Err(faults.finish()) }
    }

    /// Reads a text that the group has accepted, without the check that it passed before.
    ///
    /// # Errors
    /// The first place where it isn't the TOML of a text.
    pub fn read_accepted(source: &str) -> Result<Self, TextFault> {
        toml::from_str(source).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            TextFault::at(source, offset, error.message(), "correct the TOML at this place")
        })
    }
}

fn check(text: &PlacedText<'_>, faults: &mut FaultList<'_>) {
    NameCheck::new(text, faults).run();
    LimitCheck::new(text, faults).run();
    FitCheck::new(text, faults).run();
    RoleCheck::new(text, faults).run();
    PathCheck::new(text, faults).run();
    CycleCheck::new(text, faults).run();
}
