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
    /// The first revision with the models that are loaded at present.
    models_revision: u64,
}

impl PublishedViews {
    /// Creates it without a view.
    pub(crate) fn open() -> Self {
        Self { ledger: ViewLedger::open(rand::random()), built_at: None, models_revision: 0 }
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
            if is_changed {
                self.models_revision = self.ledger.stamp().revision;
            }
        }
        Some(self.ledger.update_since(held))
    }

    /// Whether models have been loaded or unloaded between the view `held` and the last one built.
    /// False before the first one.
    pub(crate) fn has_news(&self, held: Option<ViewStamp>) -> bool {
        let newest = self.ledger.stamp();
        let is_current = held.is_some_and(|held| {
            held.source == newest.source && held.revision >= self.models_revision
        });
        newest.revision > 0 && !is_current
    }
}
