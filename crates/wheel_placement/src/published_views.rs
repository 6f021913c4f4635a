//! The fleet's views that a control instance passes on.

use std::time::Duration;

use tokio::time::Instant;
use wheel_route::{FleetView, ViewLedger, ViewStamp, ViewUpdate};

/// Time for which a view is passed on without being built anew, unless models have been loaded or
/// unloaded since.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Builds a view once for all instances that ask for it at about the same time.
#[derive(Debug)]
pub(crate) struct PublishedViews {
    ledger: ViewLedger,
    built_at: Option<Instant>,
}

impl PublishedViews {
    /// Creates it without a view.
    pub(crate) fn open() -> Self {
        Self { ledger: ViewLedger::open(rand::random()), built_at: None }
    }

    /// The changes since `held`. Builds a view first if the last one is old or `is_changed`; `None`
    /// if it can't be built.
    pub(crate) fn update_since(
        &mut self,
        held: Option<ViewStamp>,
        is_changed: bool,
        build: impl FnOnce() -> Option<FleetView>,
    ) -> Option<ViewUpdate> {
        let is_old = self.built_at.is_none_or(|built_at| built_at.elapsed() >= MIN_VIEW_INTERVAL);
        if is_changed || is_old {
            self.ledger.publish(build()?);
            self.built_at = Some(Instant::now());
        }
        Some(self.ledger.update_since(held))
    }
}
