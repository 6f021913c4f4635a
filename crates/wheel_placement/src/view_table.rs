//! The views received from control instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::time::Instant;
use wheel_route::{FleetView, HeldView, ViewStamp, ViewUpdate};

/// Control instances whose last views are kept. While the group has no leader, an instance calls all
/// that it knows in turn.
const MAX_HELD_VIEWS: usize = 8;

/// The last view from each of the control instances that were called lately, on which the next
/// changes from it build.
#[derive(Debug, Default)]
pub(crate) struct ViewTable {
    views: HashMap<SocketAddr, (HeldView, Instant)>,
}

impl ViewTable {
    /// The view that is held of `control`.
    pub(crate) fn stamp(&self, control: SocketAddr) -> Option<ViewStamp> {
        self.views.get(&control)?.0.stamp()
    }

    /// Applies changes from `control`, and returns its view. `None` if they can't be applied; the
    /// next call requests a whole view then.
    pub(crate) fn apply(&mut self, control: SocketAddr, update: ViewUpdate) -> Option<FleetView> {
        if !self.views.contains_key(&control) && self.views.len() >= MAX_HELD_VIEWS {
            let oldest = self.views.iter().min_by_key(|(_, (_, used))| *used);
            let oldest = oldest.map(|(control, _)| *control)?;
            self.views.remove(&oldest);
        }
        let now = Instant::now();
        let (held, used) = self.views.entry(control).or_insert_with(|| (HeldView::default(), now));
        *used = now;
        held.apply(update)
    }
}
