//! A link between two data centres.

use serde::{Deserialize, Serialize};
use wheel_types::CentreName;

/// Delay and price between two data centres, the same in both directions.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// The two data centres.
    pub between: [CentreName; 2],
    /// One-way delay in milliseconds.
    #[serde(default = "default_delay_ms")]
    pub delay_ms: f64,
    /// Relative price of a gibibyte; traffic within a data centre costs 0.
    #[serde(default)]
    pub price: f64,
}

const DEFAULT_DELAY_MS: f64 = 4.0;

fn default_delay_ms() -> f64 {
    DEFAULT_DELAY_MS
}

impl Default for LinkSpec {
    fn default() -> Self {
        Self { between: ["".into(), "".into()], delay_ms: DEFAULT_DELAY_MS, price: 0.0 }
    }
}
