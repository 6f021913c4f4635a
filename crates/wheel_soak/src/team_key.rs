//! The teams of a run and their keys, which follow from the version of the configuration.

use serde::Serialize;
use serde_json::{Value, json};

/// Number of versions that have a key of the team with changing keys.
const KEY_VERSIONS: u64 = 4;
/// Teams whose keys are in all versions.
const LASTING_TEAMS: [&str; 2] = ["alpha", "beta"];
/// The team whose keys are added and withdrawn.
const CHANGING_TEAM: &str = "gamma";

/// What a request has as its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub enum TeamKey {
    /// The key of a team, by its index, which is in all versions.
    Lasting(usize),
    /// A key that is added by this version and withdrawn by a later one.
    Changing(u64),
    /// A key that is in no version.
    Unknown(u64),
    /// No key.
    Missing,
}

impl TeamKey {
    /// The lasting key for the caller `number`.
    pub fn lasting(number: u64) -> Self {
        Self::Lasting(usize::from(!number.is_multiple_of(2)))
    }

    /// The header's value.
    pub fn text(&self) -> Option<String> {
        match self {
            Self::Lasting(index) => Some(format!("lasting-{index}-secret")),
            Self::Changing(version) => Some(format!("changing-{version}-secret")),
            Self::Unknown(number) => Some(format!("unknown-{number}-secret")),
            Self::Missing => None,
        }
    }

    /// The team that holds or held the key.
    pub fn team(&self) -> Option<&'static str> {
        match self {
            Self::Lasting(index) => LASTING_TEAMS.get(*index).copied(),
            Self::Changing(_) => Some(CHANGING_TEAM),
            Self::Unknown(_) | Self::Missing => None,
        }
    }

    /// The first version that has the key, and the first one after it that doesn't.
    pub fn versions(&self) -> (u64, u64) {
        match self {
            Self::Lasting(_) => (0, u64::MAX),
            Self::Changing(version) => (*version, version + KEY_VERSIONS),
            Self::Unknown(_) | Self::Missing => (u64::MAX, u64::MAX),
        }
    }

    /// The `tenants` of a version.
    pub(crate) fn teams(version: u64) -> Vec<Value> {
        let first = (version + 1).saturating_sub(KEY_VERSIONS);
        let changing: Vec<_> = (first..=version).map(Self::Changing).collect();
        let lasting = (0..LASTING_TEAMS.len()).map(|index| vec![Self::Lasting(index)]);
        let names = LASTING_TEAMS.into_iter().chain([CHANGING_TEAM]);
        let keys = lasting.chain([changing]).map(|keys| {
            let keys: Vec<_> = keys.iter().filter_map(Self::text).collect();
            keys
        });
        names.zip(keys).map(|(name, keys)| json!({"name": name, "apiKeys": keys})).collect()
    }
}
