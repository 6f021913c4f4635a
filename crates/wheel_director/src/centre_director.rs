//! Directs the engines of a data centre while this instance holds its lease.

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
use crate::{DemandTable, DirectorLink, DirectorSettings, LeaseDriver};

/// Time between two plans while nothing urgent happens.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two plans while orders are open.
const BUSY_PLAN_INTERVAL: Duration = Duration::from_millis(40);

/// Plans and orders; idle while another instance holds the lease.
pub struct CentreDirector {
    settings: DirectorSettings,
    driver: Arc<LeaseDriver>,
    demand: DemandTable,
    link: Arc<dyn DirectorLink>,
    text: watch::Receiver<Option<Arc<ActiveManifest>>>,
    stopped: CancellationToken,
}

impl CentreDirector {
    /// Starts to direct whenever `driver` holds the lease.
    pub fn spawn(
        settings: DirectorSettings,
        driver: Arc<LeaseDriver>,
        link: Arc<dyn DirectorLink>,
        text: watch::Receiver<Option<Arc<ActiveManifest>>>,
    ) -> Arc<Self> {
        let stopped = CancellationToken::new();
        let demand = DemandTable::default();
        let director = Arc::new(Self { settings, driver, demand, link, text, stopped });
        tokio::spawn(Arc::clone(&director).run());
        director
    }

    /// Takes an instance's demand, if this instance holds the lease.
    pub fn note_demand(&self, from: InstanceName, report: DemandReport) -> DemandReply {
        if self.driver.authority().is_none() {
            return DemandReply::NotHolder { holder: self.driver.known_holder() };
        }
        self.demand.note_report(
            Timestamp::try_from(time_of_day()).unwrap_or_default(),
            from,
            report,
        );
        DemandReply::Noted
    }

    /// Gives no more orders and gives the lease up.
    pub fn stop(&self) {
        self.stopped.cancel();
        self.driver.release();
    }

    async fn run(self: Arc<Self>) {
        let (ends, mut ended) = unbounded_channel();
        let sender = OrderSender { driver: Arc::clone(&self.driver), ends };
        let mut round = PlacementRound::new(self.settings.clone(), sender, Arc::clone(&self.link));
        loop {
            let interval = match round.is_busy() {
                true => BUSY_PLAN_INTERVAL,
                false => PLAN_INTERVAL,
            };
            tokio::select! {
                () = self.stopped.cancelled() => return,
                Some(end) = ended.recv() => round.note_end(&end),
                () = self.demand.urgent() => {}
                () = self.driver.changed() => {}
                () = tokio::time::sleep(interval) => {}
            }
            let text = self.text.borrow().clone();
            let (Some(text), Some(authority)) = (text, self.driver.authority()) else {
                round.pause();
                continue;
            };
            let learned = round.run(&text, &authority, &self.demand).await;
            if let Some(number) = learned {
                debug!("fencing_number_learned", kv: { number = number.0 });
                self.driver.learn(number);
            }
        }
    }
}
