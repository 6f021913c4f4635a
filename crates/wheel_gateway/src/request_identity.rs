//! Whose request it is.

use std::sync::Arc;
use std::time::Duration;

use wheel_route::{RouteSpec, TeamSpec};
use wheel_seams::is_planted;

use crate::{ActiveConfig, Credential, ForwardIdentity};

/// Age of the proof of the configuration above which an unknown key may be in a newer one that
/// hasn't arrived here.
const UNSURE_AGE: Duration = Duration::from_millis(1_500);

/// The highest number of an engine's urgencies, which goes last.
const MAX_URGENCY: u8 = 9;
/// Urgencies of one team's rank, for the ranks of its routes.
const TEAM_RANK_STEP: u8 = 3;

/// The team of a request's caller, resolved once when the request arrives.
#[derive(Clone, Debug)]
pub(crate) struct RequestIdentity {
    /// The team; `None` where no key is needed.
    pub(crate) team: Option<Arc<TeamSpec>>,
    /// The rank of the request: that of its team, else that of its route.
    pub(crate) rank: u8,
    /// The rank of the route, which orders requests of one team's rank.
    route_rank: u8,
    /// What upstreams are told.
    pub(crate) forward: ForwardIdentity,
}

/// How sure it is that a configuration is the newest one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigCertainty {
    /// The age of the proof that it is, taken before the configuration was read.
    pub(crate) proof_age: Option<Duration>,
    /// The age beyond which no key counts as held, if there is one.
    pub(crate) max_proof_age: Option<Duration>,
    /// Whether a newer one is known, whose document hasn't arrived.
    pub(crate) is_outdated: bool,
}

impl ConfigCertainty {
    fn is_proven(&self, limit: Duration) -> bool {
        self.proof_age.is_some_and(|age| age <= limit)
    }

    /// Whether the keys that it lists may be accepted.
    fn allows_keys(&self) -> bool {
        self.max_proof_age.is_none_or(|limit| self.is_proven(limit))
    }

    /// Whether a key that it doesn't list is known to no team.
    fn excludes_others(&self) -> bool {
        !self.is_outdated && self.is_proven(UNSURE_AGE)
    }
}

/// Why a request's key isn't accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum KeyRefusal {
    /// It has no usable key.
    Missing,
    /// No team holds its key.
    Unknown,
    /// It can't be proven here that the key still holds, or that it doesn't.
    Unproven,
}

impl KeyRefusal {
    /// The reason as logged.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Missing => "key_missing",
            Self::Unknown => "key_unknown",
            Self::Unproven => "key_unproven",
        }
    }
}

impl RequestIdentity {
    /// Resolves the caller's key.
    ///
    /// # Errors
    /// Why the request isn't accepted.
    pub(crate) fn resolve(
        active: &ActiveConfig,
        route: &RouteSpec,
        credential: Credential,
        certainty: ConfigCertainty,
    ) -> Result<Self, KeyRefusal> {
        match credential {
            _ if !active.teams.requires_key() => {
                Ok(Self::of_route(route, ForwardIdentity::Unmanaged))
            }
            _ if route.is_public => Ok(Self::of_route(route, ForwardIdentity::Public)),
            Credential::Missing | Credential::Malformed => Err(KeyRefusal::Missing),
            _ if !certainty.allows_keys() => Err(KeyRefusal::Unproven),
            Credential::Key(key) => match active.teams.find(&key) {
                Some(team) => {
                    let (rank, name) = (team.rank.unwrap_or(route.rank), Arc::clone(&team.name));
                    let (route_rank, forward) = match is_planted("key_forwarded") {
                        true => (route.rank, ForwardIdentity::Unmanaged),
                        false => (route.rank, ForwardIdentity::Team(name)),
                    };
                    Ok(Self { team: Some(Arc::clone(team)), rank, route_rank, forward })
                }
                None if certainty.excludes_others() => Err(KeyRefusal::Unknown),
                None => Err(KeyRefusal::Unproven),
            },
        }
    }

    /// The identity of a request that needs no key.
    fn of_route(route: &RouteSpec, forward: ForwardIdentity) -> Self {
        Self { team: None, rank: route.rank, route_rank: route.rank, forward }
    }

    /// The urgency at an engine, 0 to 9, where 0 goes first. A team's rank goes before that of the
    /// route, which orders the requests of one team.
    pub(crate) fn urgency(&self) -> u8 {
        let has_own_rank = self.team.as_ref().is_some_and(|team| team.rank.is_some());
        let urgency = match has_own_rank {
            true => {
                let within = self.route_rank.min(TEAM_RANK_STEP - 1);
                self.rank.saturating_mul(TEAM_RANK_STEP).saturating_add(within)
            }
            // Ranks map to every second number, so that others fit between.
            false => self.rank.saturating_mul(2).saturating_add(1),
        };
        urgency.min(MAX_URGENCY)
    }
}
