//! Drives the membership protocol.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use spdlog::{info, warn};
use tokio::sync::watch;
use wheel_agreement::{decode, encode};
use wheel_membership::{
    InstanceAddress, ListedInstance, MemberInput, MemberMessage, MemberOutput, MemberSettings,
    MemberTable, MemberView,
};
use wheel_peer::{PeerAddress, PeerChannel, PeerHub, PeerIdentity, PeerRefusal};
use wheel_types::{IncarnationId, MonotonicTime};

use crate::{InstanceDirectory, PeerEntry};

/// Time after which a message counts as lost.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two ticks, to avoid a busy loop.
const MIN_STEP: Duration = Duration::from_millis(5);

/// Runs the member table of this instance.
pub struct MemberDriver {
    start: Instant,
    table: Mutex<MemberTable>,
    hub: PeerHub,
    instances: Arc<InstanceDirectory>,
    view: watch::Sender<Arc<MemberView>>,
}

impl MemberDriver {
    /// Starts with the instances listed in the settings.
    pub fn spawn(
        start: Instant,
        incarnation: IncarnationId,
        hub: PeerHub,
        instances: Arc<InstanceDirectory>,
        seed: u64,
    ) -> Arc<Self> {
        let now = MonotonicTime::between(start, Instant::now());
        let own = instance_address(instances.own());
        let table = MemberTable::open(MemberSettings::default(), own, incarnation, now, seed);
        let view = watch::Sender::new(table.view());
        let driver = Arc::new(Self { start, table: Mutex::new(table), hub, instances, view });
        let listed = driver.instances.listed();
        driver.step(MemberInput::Listed(
            listed.iter().map(|peer| listed_instance(peer, false)).collect(),
        ));
        driver.publish_view();
        tokio::spawn(Arc::clone(&driver).run());
        driver
    }

    /// Subscribes to the live instances.
    pub fn subscribe(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.subscribe()
    }

    /// Applies the platform's list, which lags.
    pub fn apply_list(&self, listed: Vec<ListedInstance>) {
        self.step(MemberInput::Listed(listed));
    }

    /// Handles another member's message.
    ///
    /// # Errors
    /// [`PeerRefusal`] if the message can't be decoded or names another sender.
    pub fn answer(&self, peer: &PeerIdentity, body: &[u8]) -> Result<Vec<u8>, PeerRefusal> {
        let message: MemberMessage =
            decode(body).map_err(|error| PeerRefusal::new(error.to_string()))?;
        if message.sender.address.name != peer.instance {
            return Err(PeerRefusal::new("a message is sent in another's name"));
        }
        self.step(MemberInput::Message(Box::new(message)));
        Ok(Vec::new())
    }

    /// Announces that this instance accepts no new work.
    pub fn drain(&self) {
        self.step(MemberInput::Drain);
    }

    /// Announces that this instance exits.
    pub fn leave(&self) {
        self.step(MemberInput::Leave);
    }

    async fn run(self: Arc<Self>) {
        loop {
            let wait = self.table.lock().next_tick().since(self.now());
            tokio::time::sleep(wait.max(MIN_STEP)).await;
            self.step(MemberInput::Tick);
        }
    }

    fn step(&self, input: MemberInput) {
        let outputs = self.table.lock().step(self.now(), input);
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => self.send(&to, &message),
                MemberOutput::ViewChanged => self.publish_view(),
                MemberOutput::TableFull(name) => {
                    warn!("member_table_full", kv: { instance = name.as_str() });
                }
            }
        }
    }

    fn publish_view(&self) {
        let view = self.table.lock().view();
        let live: usize = view.centres.values().map(Vec::len).sum();
        info!("members_changed", kv: { live });
        self.instances.set_view(Arc::clone(&view));
        self.view.send_replace(view);
    }

    fn send(&self, to: &InstanceAddress, message: &MemberMessage) {
        let Ok(body) = encode(message) else { return };
        let address = PeerAddress::new(to.name.clone(), to.peer);
        let hub = self.hub.clone();
        tokio::spawn(async move {
            let _ = hub.call(&address, PeerChannel::Membership, body, MESSAGE_TIMEOUT).await;
        });
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::between(self.start, Instant::now())
    }
}

fn instance_address(entry: &PeerEntry) -> InstanceAddress {
    InstanceAddress {
        name: entry.instance.clone(),
        centre: entry.centre.clone(),
        peer: entry.peer,
        relay: entry.relay,
    }
}

/// Converts an instance of the settings to an entry of the platform's list.
pub(crate) fn listed_instance(entry: &PeerEntry, leaving: bool) -> ListedInstance {
    ListedInstance { address: instance_address(entry), leaving }
}
