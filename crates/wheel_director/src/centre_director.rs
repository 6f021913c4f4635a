//! Sends orders to the engines of a data centre while this instance holds its lease.

use std::sync::Arc;
use std::time::Duration;

use jiff::Timestamp;
use spdlog::debug;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wheel_manifest::ActiveManifest;
use wheel_seams::time_of_day;
use wheel_types::{DemandReply, DemandReport, InstanceName};

use crate::order_sender::OrderSender;
use crate::placement_round::PlacementRound;
use crate::{DemandTable, DirectorHost, DirectorSettings, LeaseDriver};

/// Interval between plans while nothing is urgent.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between plans while orders are open.
const BUSY_PLAN_INTERVAL: Duration = Duration::from_millis(40);

/// Plans the placement and sends orders; idle while another instance holds the lease.
pub struct CentreDirector {
    settings: DirectorSettings,
    driver: Arc<LeaseDriver>,
    demand: DemandTable,
    host: Arc<dyn DirectorHost>,
    manifest: watch::Receiver<Option<Arc<ActiveManifest>>>,
    stopped: CancellationToken,
}

impl CentreDirector {
    /// Starts the director, which is active whenever `driver` holds the lease.
    pub fn spawn(
        settings: DirectorSettings,
        driver: Arc<LeaseDriver>,
        host: Arc<dyn DirectorHost>,
        manifest: watch::Receiver<Option<Arc<ActiveManifest>>>,
    ) -> Arc<Self> {
        let stopped = CancellationToken::new();
        let demand = DemandTable::default();
        let director = Arc::new(Self { settings, driver, demand, host, manifest, stopped });
        tokio::spawn(Arc::clone(&director).run());
        director
    }

    /// Records an instance's demand, if this instance holds the lease.
    pub fn record_demand(&self, from: InstanceName, report: DemandReport) -> DemandReply {
        if self.driver.authority().is_none() {
            return DemandReply::NotHolder { holder: self.driver.known_holder() };
        }
        self.demand.record_report(
            Timestamp::try_from(time_of_day()).unwrap_or_default(),
            from,
            report,
        );
        DemandReply::Noted
    }

    /// Stops sending orders and releases the lease.
    pub fn stop(&self) {
        self.stopped.cancel();
        self.driver.release();
    }

    async fn run(self: Arc<Self>) {
        let (outcomes, mut finished) = unbounded_channel();
        let sender = OrderSender { driver: Arc::clone(&self.driver), outcomes };
        let mut round = PlacementRound::new(self.settings.clone(), sender, Arc::clone(&self.host));
        loop {
            let interval = match round.is_busy() {
                true => BUSY_PLAN_INTERVAL,
                false => PLAN_INTERVAL,
            };
            tokio::select! {
                () = self.stopped.cancelled() => return,
                Some(outcome) = finished.recv() => round.record_outcome(&outcome),
                () = self.demand.urgent() => {}
                () = self.driver.changed() => {}
                () = tokio::time::sleep(interval) => {}
            }
            let manifest = self.manifest.borrow().clone();
            let (Some(manifest), Some(authority)) = (manifest, self.driver.authority()) else {
                round.reset();
                continue;
            };
            let learned = round.run(&manifest, &authority, &self.demand).await;
            if let Some(number) = learned {
                debug!("fencing_number_learned", kv: { number = number.0 });
                self.driver.learn(number);
            }
        }
    }
}
