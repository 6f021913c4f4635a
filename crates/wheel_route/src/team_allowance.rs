//! How much a team may use.

/// What an allowance counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AllowanceUnit {
    /// Each request counts as 1.
    #[default]
    Requests,
    /// Each request counts as its tokens.
    Tokens,
}

/// What a team may use over all instances together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamAllowance {
    /// What is counted.
    pub unit: AllowanceUnit,
    /// Units per second; 0 means no limit.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Units of a request that states no tokens, if tokens are counted.
    pub plain_cost: u64,
}

impl TeamAllowance {
    /// Whether the team's use is limited.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// The units of a request with the given tokens; `None` if it states none.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            AllowanceUnit::Requests => 1,
            AllowanceUnit::Tokens => tokens.unwrap_or(self.plain_cost),
        }
    }
}
