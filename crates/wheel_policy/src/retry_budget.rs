//! Limits retries for each upstream.

use std::collections::BTreeMap;

use wheel_types::UpstreamName;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed for each first request.
    pub share: f64,
    /// Initial and maximum number of retries that an upstream has in reserve.
    pub reserve: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self { share: 0.1, reserve: 10.0 }
    }
}

/// Limits retries and hedges to a share of the requests, for each upstream.
///
/// Its table holds one number for each upstream that was used.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    settings: BudgetSettings,
    tokens: BTreeMap<UpstreamName, f64>,
}

impl RetryBudget {
    /// Creates a budget with a full reserve for each upstream.
    pub fn open(settings: BudgetSettings) -> Self {
        Self { settings, tokens: BTreeMap::new() }
    }

    /// Counts a request to an upstream that isn't a retry.
    pub fn record_request(&mut self, upstream: &UpstreamName) {
        let reserve = self.settings.reserve;
        let tokens = self.tokens.entry(upstream.clone()).or_insert(reserve);
        *tokens = (*tokens + self.settings.share).min(reserve);
    }

    /// Spends one retry to `upstream`; false means that it must not be sent.
    pub fn try_retry(&mut self, upstream: &UpstreamName) -> bool {
        let reserve = self.settings.reserve;
        let tokens = self.tokens.entry(upstream.clone()).or_insert(reserve);
        let allowed = *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }

    /// Retries to `upstream` that are left.
    pub fn remaining(&self, upstream: &UpstreamName) -> f64 {
        self.tokens.get(upstream).copied().unwrap_or(self.settings.reserve)
    }

    /// Removes an upstream, which has a full reserve if it is used again.
    pub fn remove_upstream(&mut self, upstream: &UpstreamName) {
        self.tokens.remove(upstream);
    }
}
