//! How many retries an upstream gets.

use std::collections::BTreeMap;

use wheel_types::UpstreamName;

/// Shares and limits of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed for each first request.
    pub share: f64,
    /// Retries that are allowed before any request was counted, and most that are saved up.
    pub reserve: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { share: 0.1, reserve: 10.0 }
    }
}

/// Bounds retries and hedges to a share of the requests, for each upstream.
///
/// Its table holds one number for each upstream that was used.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    settings: BudgetSettings,
    tokens: BTreeMap<UpstreamName, f64>,
}

impl RetryBudget {
    /// Makes a budget with its reserve full.
    pub fn open(settings: BudgetSettings) -> Self {
        Self { settings, tokens: BTreeMap::new() }
    }

    /// Counts a first request to an upstream.
    pub fn record_request(&mut self, upstream: &UpstreamName) {
        let reserve = self.settings.reserve;
        let tokens = self.tokens.entry(upstream.clone()).or_insert(reserve);
        *tokens = (*tokens + self.settings.share).min(reserve);
    }

    /// Spends one retry that goes to `upstream`; false means that it must not be made.
    pub fn try_retry(&mut self, upstream: &UpstreamName) -> bool {
        let reserve = self.settings.reserve;
        let tokens = self.tokens.entry(upstream.clone()).or_insert(reserve);
        let allowed = *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }

    /// Forgets an upstream.
    pub fn forget(&mut self, upstream: &UpstreamName) {
        self.tokens.remove(upstream);
    }
}
