//! Runs the data centre's lease protocol over the network.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use tokio::sync::Notify;
use wheel_lease::{
    GrantorSet, HolderId, HolderInput, HolderOutput, LeaseAuthority, LeaseGrantor, LeaseHolder,
    LeaseReply, LeaseRequest,
};
use wheel_manifest::ActiveManifest;
use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_types::{FencingNumber, InstanceName};

use crate::DirectorSettings;

/// The longest time between two steps of a holder.
const MAX_STEP: Duration = Duration::from_millis(200);
/// The shortest time between two steps, which prevents a busy loop.
const MIN_STEP: Duration = Duration::from_millis(5);

/// Finds the peer address of a grantor.
pub trait GrantorResolver: Send + Sync + 'static {
    /// The address of `instance`, if it is known.
    fn grantor_address(&self, instance: &InstanceName) -> Option<PeerAddress>;
}

/// A grantor of the data centre's lease and, as such, a candidate for it.
pub struct LeaseDriver {
    settings: DirectorSettings,
    hub: PeerHub,
    resolver: Arc<dyn GrantorResolver>,
    state: Mutex<LeaseState>,
    changed: Notify,
}

#[derive(Debug)]
struct LeaseState {
    grantor: LeaseGrantor,
    /// Present only while this instance is in the grantor set.
    holder: Option<LeaseHolder>,
}

impl LeaseDriver {
    /// Starts the grantor; the holder starts with the first manifest that lists this instance.
    pub fn spawn(
        settings: DirectorSettings,
        hub: PeerHub,
        resolver: Arc<dyn GrantorResolver>,
    ) -> Arc<Self> {
        let grantor = LeaseGrantor::open(settings.lease.clone(), settings.now());
        let state = Mutex::new(LeaseState { grantor, holder: None });
        let driver = Arc::new(Self { settings, hub, resolver, state, changed: Notify::new() });
        tokio::spawn(Arc::clone(&driver).run());
        driver
    }

    /// Applies the grantor set of a committed manifest.
    pub fn apply_manifest(self: &Arc<Self>, manifest: &ActiveManifest) {
        let spec =
            manifest.manifest.centres.iter().find(|centre| centre.name == self.settings.centre);
        let members = spec.map(|centre| centre.grantors.iter().cloned().collect());
        let set = GrantorSet { epoch: manifest.revision.0, members: members.unwrap_or_default() };
        let is_member = set.members.contains(&self.settings.instance);
        let now = self.settings.now();
        let outputs = {
            let mut state = self.state.lock();
            state.grantor.adopt(set.epoch);
            match &mut state.holder {
                Some(holder) if is_member => holder.step(now, HolderInput::SetChanged(set)),
                Some(holder) => {
                    let outputs = holder.step(now, HolderInput::Release);
                    state.holder = None;
                    outputs
                }
                None if is_member => {
                    state.holder = Some(self.open_holder(set));
                    Vec::new()
                }
                None => Vec::new(),
            }
        };
        self.apply_outputs(outputs);
        self.changed.notify_one();
    }

    /// Answers another candidate's request.
    pub fn answer(&self, request: &LeaseRequest) -> LeaseReply {
        self.state.lock().grantor.answer(self.settings.now(), request)
    }

    /// The order authority, if this instance holds the lease.
    pub fn authority(&self) -> Option<LeaseAuthority> {
        let state = self.state.lock();
        state.holder.as_ref()?.authority(self.settings.now())
    }

    /// The holder of the lease, as far as this instance knows.
    pub fn known_holder(&self) -> Option<InstanceName> {
        let state = self.state.lock();
        let known = state.holder.as_ref()?.known_holder()?;
        Some(known.instance.clone())
    }

    /// Records a number that an engine has seen; our own is raised above it.
    pub fn learn(self: &Arc<Self>, number: FencingNumber) {
        self.step(HolderInput::Learned(number));
    }

    /// Releases the lease and stops claiming it.
    pub fn release(self: &Arc<Self>) {
        self.step(HolderInput::Release);
    }

    /// Completes when the lease may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn open_holder(&self, set: GrantorSet) -> LeaseHolder {
        let id = HolderId {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
        };
        let lease = self.settings.lease.clone();
        LeaseHolder::open(lease, id, set, self.settings.now(), self.settings.seed)
    }

    async fn run(self: Arc<Self>) {
        loop {
            let next = {
                let state = self.state.lock();
                state.holder.as_ref().map(LeaseHolder::next_tick)
            };
            let wait = next.map_or(MAX_STEP, |next| next.since(self.settings.now()));
            tokio::time::sleep(wait.clamp(MIN_STEP, MAX_STEP)).await;
            self.step(HolderInput::Tick);
        }
    }

    fn step(self: &Arc<Self>, input: HolderInput) {
        let outputs = {
            let mut state = self.state.lock();
            let now = self.settings.now();
            state.holder.as_mut().map(|holder| holder.step(now, input)).unwrap_or_default()
        };
        self.apply_outputs(outputs);
    }

    fn apply_outputs(self: &Arc<Self>, outputs: Vec<HolderOutput>) {
        let mut pending = VecDeque::from(outputs);
        while let Some(output) = pending.pop_front() {
            match output {
                HolderOutput::Send { to, request } if to == self.settings.instance => {
                    pending.extend(self.answer_locally(&request));
                }
                HolderOutput::Send { to, request } => self.send(to, &request),
                HolderOutput::Acquired(authority) => {
                    info!("lease_acquired", kv: {
                        data_centre = self.settings.centre.as_str(),
                        number = authority.number.0
                    });
                    self.changed.notify_one();
                }
                HolderOutput::Lost(number) => {
                    info!("lease_lost", kv: {
                        data_centre = self.settings.centre.as_str(),
                        number = number.0
                    });
                    self.changed.notify_one();
                }
            }
        }
    }

    /// Answers a request of the local holder, because this instance is one of its own grantors.
    fn answer_locally(&self, request: &LeaseRequest) -> Vec<HolderOutput> {
        let mut state = self.state.lock();
        let now = self.settings.now();
        let reply = state.grantor.answer(now, request);
        let input = HolderInput::Reply { from: self.settings.instance.clone(), reply };
        state.holder.as_mut().map(|holder| holder.step(now, input)).unwrap_or_default()
    }

    fn send(self: &Arc<Self>, to: InstanceName, request: &LeaseRequest) {
        let (Some(address), Ok(body)) =
            (self.resolver.grantor_address(&to), postcard::to_stdvec(request))
        else {
            return;
        };
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let limit = driver.settings.lease.renew_interval();
            let answer = driver.hub.call(&address, PeerChannel::Lease, body, limit).await;
            if let Some(reply) = answer.ok().and_then(|body| postcard::from_bytes(&body).ok()) {
                driver.step(HolderInput::Reply { from: to, reply });
            }
        });
    }
}
