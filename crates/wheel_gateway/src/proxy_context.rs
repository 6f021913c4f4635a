//! State shared by all requests of an ingress instance.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use wheel_ingress::DrainDeadline;
use wheel_policy::{
    OutlierDetector, OutlierSettings, ReachabilityTable, RestTable, SharedRetryBudget,
};
use wheel_seams::is_planted;
use wheel_types::MonotonicTime;
use wheel_upstream::ServiceDialect;

use crate::request_dispatcher::RequestDispatcher;
use crate::{FleetState, IngressDialect, ProxySettings, UpstreamTable};

/// Settings, tables and policies shared by all requests of an ingress instance.
pub(crate) struct ProxyContext {
    pub(crate) settings: ProxySettings,
    pub(crate) state: Arc<FleetState>,
    pub(crate) dialect: Arc<dyn IngressDialect>,
    pub(crate) upstreams: UpstreamTable,
    pub(crate) retries: Mutex<SharedRetryBudget>,
    pub(crate) outliers: Mutex<OutlierDetector>,
    pub(crate) reach: Mutex<ReachabilityTable>,
    pub(crate) rests: Mutex<RestTable>,
    pub(crate) dispatcher: Arc<RequestDispatcher>,
    pub(crate) drain: DrainDeadline,
    pub(crate) start: Instant,
}

impl ProxyContext {
    /// Creates the context with empty tables.
    pub(crate) fn open(
        settings: ProxySettings,
        state: Arc<FleetState>,
        dialect: Arc<dyn IngressDialect>,
        upstream_dialect: Arc<dyn ServiceDialect>,
        drain: DrainDeadline,
    ) -> Self {
        let budget = SharedRetryBudget::open(settings.retries.clone(), MonotonicTime::default());
        let outliers = OutlierSettings {
            consecutive_failures: 3,
            base_ejection_time: Duration::from_secs(2),
            ..OutlierSettings::default()
        };
        let start = Instant::now();
        let dispatcher = Arc::new(RequestDispatcher::new(Arc::clone(&state), start));
        Self {
            settings,
            state,
            dialect,
            upstreams: UpstreamTable::open(upstream_dialect),
            retries: Mutex::new(budget),
            outliers: Mutex::new(OutlierDetector::open(outliers)),
            reach: Mutex::default(),
            rests: Mutex::default(),
            dispatcher,
            drain: if is_planted("drain_without_deadline") {
                DrainDeadline::default()
            } else {
                drain
            },
            start,
        }
    }

    /// The time for the policies' tables.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + self.start.elapsed()
    }
}
