//! Syncs the state of this instance with a control instance several times a second.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics::histogram;
use parking_lot::Mutex;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::Instant;
use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_route::{ControlEndpoint, SyncReply, SyncRequest};
use wheel_seams::boot_now;
use wheel_types::{InstanceName, MonotonicTime};

use crate::ConfigProof;

/// Time limit for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a reply that could be delayed until a change (long polling).
const LONG_POLL_PAUSE: Duration = Duration::from_millis(20);
/// Milliseconds since a control instance's last contact with the group, above which another one is
/// used: it may lack configurations that are in force.
const MAX_GROUP_AGE_MS: u64 = 700;
/// How long such an instance isn't used while there are others.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Age of the proof that the own configuration is the newest one, above which its lack is logged.
const UNPROVEN_AGE: Duration = Duration::from_millis(1_000);

/// Probability at each reply of moving to a control instance of the own data centre. Less than 1,
/// so that many ingress instances don't move at once.
const MOVE_PROBABILITY: f64 = 0.1;

/// The outcome of a sync call.
#[derive(Clone, Debug)]
pub enum SyncOutcome {
    /// A reply was received.
    Replied(Box<SyncReply>),
    /// No valid reply was received.
    Failed,
}

/// Own identity and timing of syncs.
#[derive(Clone, Debug)]
pub struct SyncSettings {
    /// The own address for other instances, which is also the own instance name.
    pub own: SocketAddr,
    /// The own data centre.
    pub centre: Arc<str>,
    /// Time between two calls.
    pub interval: Duration,
}

/// Chooses a control instance as parent and syncs with it while it replies.
pub struct ParentSync {
    settings: SyncSettings,
    hub: PeerHub,
    /// Seeds, and the control instances named in replies.
    endpoints: Mutex<Vec<ControlEndpoint>>,
    parent: Mutex<Option<SocketAddr>>,
    /// Control instances that didn't reply or have lost contact with the group, and since when.
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
    /// What control instances have said about the configuration in their replies.
    proof: ConfigProof,
}

impl ParentSync {
    /// Creates a sync that knows the seeds.
    pub fn open(settings: SyncSettings, hub: PeerHub, seeds: &[SocketAddr]) -> Arc<Self> {
        let sync = Self {
            settings,
            hub,
            endpoints: Mutex::default(),
            parent: Mutex::default(),
            avoided: Mutex::default(),
            proof: ConfigProof::default(),
        };
        sync.add_seeds(seeds);
        Arc::new(sync)
    }

    /// Adds seeds, whose data centres aren't known.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut endpoints = self.endpoints.lock();
        for address in seeds {
            if endpoints.iter().all(|endpoint| endpoint.address != *address) {
                endpoints.push(ControlEndpoint { address: *address, centre: "".into() });
            }
        }
    }

    /// Runs until aborted: `prepare` builds each request, `take` receives its outcome, and a call
    /// is made at once when the future of `urgent` completes.
    pub async fn run<U: Future<Output = ()> + Send>(
        self: Arc<Self>,
        prepare: impl Fn() -> SyncRequest + Send,
        take: impl Fn(SyncOutcome) + Send,
        urgent: impl Fn() -> U + Send,
    ) {
        let mut was_connected = true;
        let mut was_proven = true;
        loop {
            let parent = self.choose();
            let request = prepare();
            let called = boot_now();
            let is_long_poll = request.hold_ms > 0;
            let outcome = match parent {
                Some(parent) => self.call(parent, &request).await,
                None => SyncOutcome::Failed,
            };
            let is_connected = matches!(outcome, SyncOutcome::Replied(_));
            if is_connected != was_connected {
                let parent = parent.map(|parent| parent.to_string()).unwrap_or_default();
                match is_connected {
                    true => info!("control_regained", kv: { control = parent }),
                    false => warn!("control_lost", kv: { control = parent }),
                }
                was_connected = is_connected;
            }
            match &outcome {
                SyncOutcome::Replied(reply) if reply.group_age_ms > MAX_GROUP_AGE_MS => {
                    self.learn(&reply.control);
                    self.avoid(parent);
                }
                SyncOutcome::Replied(reply) => self.learn(&reply.control),
                SyncOutcome::Failed => self.avoid(parent),
            }
            if let SyncOutcome::Replied(reply) = &outcome {
                self.record_proof(called, reply);
            }
            was_proven = self.log_proof(was_proven, parent, &request);
            take(outcome);
            let jitter = rand::rng().random_range(0.9..1.1);
            let pause = match is_connected {
                true if is_long_poll => LONG_POLL_PAUSE,
                true => self.settings.interval.mul_f64(jitter),
                false => self.settings.interval.mul_f64(jitter) / 2,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = urgent() => {}
            }
        }
    }

    /// Makes one call to the given control instance.
    pub async fn call(&self, parent: SocketAddr, request: &SyncRequest) -> SyncOutcome {
        let Ok(body) = postcard::to_stdvec(request) else { return SyncOutcome::Failed };
        let address = PeerAddress::new(InstanceName::from(parent.to_string().as_str()), parent);
        let answer = self.hub.call(&address, PeerChannel::Report, body, REPLY_TIMEOUT).await;
        let reply = answer.ok().and_then(|body| postcard::from_bytes::<SyncReply>(&body).ok());
        reply.map_or(SyncOutcome::Failed, |reply| SyncOutcome::Replied(Box::new(reply)))
    }

    /// Records the moment for which a reply to a call made at `called` proves the configuration.
    fn record_proof(&self, called: MonotonicTime, reply: &SyncReply) {
        if let Some(age) = self.proof.age(boot_now()) {
            histogram!("wheel_config_proof_age_seconds").record(age.as_secs_f64());
        }
        let micros = reply.group_age_ms.saturating_mul(1_000);
        self.proof.record(MonotonicTime::from_micros(called.as_micros().saturating_sub(micros)));
    }

    /// Logs when the configuration isn't proven any more, and when it is again. Returns whether it
    /// is.
    fn log_proof(
        &self,
        was_proven: bool,
        parent: Option<SocketAddr>,
        request: &SyncRequest,
    ) -> bool {
        let age = self.proof.age(boot_now());
        let is_proven = age.is_some_and(|age| age < UNPROVEN_AGE);
        let control = parent.map(|parent| parent.to_string()).unwrap_or_default();
        match is_proven {
            true if !was_proven => info!("config_proven", kv: {
                version = request.version, control
            }),
            false if was_proven => warn!("config_unproven", kv: {
                version = request.version, control,
                age_ms = age.map(|age| age.as_millis()).unwrap_or_default()
            }),
            _ => {}
        }
        is_proven
    }

    /// Abandons the parent, and avoids `parent` for [`AVOID_TIME`].
    fn avoid(&self, parent: Option<SocketAddr>) {
        *self.parent.lock() = None;
        if let Some(parent) = parent {
            self.avoided.lock().insert(parent, Instant::now());
        }
    }

    /// Whether a control instance is avoided now.
    fn is_avoided(&self, address: SocketAddr) -> bool {
        let mut avoided = self.avoided.lock();
        avoided.retain(|_, since| since.elapsed() < AVOID_TIME);
        avoided.contains_key(&address)
    }

    /// The current parent, else a random control instance, preferably of the own data centre.
    fn choose(&self) -> Option<SocketAddr> {
        let current = *self.parent.lock();
        if current.is_some() {
            return current;
        }
        let endpoints = self.endpoints.lock().clone();
        let available: Vec<&ControlEndpoint> =
            endpoints.iter().filter(|endpoint| !self.is_avoided(endpoint.address)).collect();
        let local: Vec<&ControlEndpoint> = available
            .iter()
            .filter(|endpoint| endpoint.centre == self.settings.centre)
            .copied()
            .collect();
        let all: Vec<&ControlEndpoint> = endpoints.iter().collect();
        let pool = [local, available, all].into_iter().find(|pool| !pool.is_empty())?;
        let chosen = pool[rand::rng().random_range(0..pool.len())].address;
        *self.parent.lock() = Some(chosen);
        info!("control_chosen", kv: { control = chosen.to_string(), known = endpoints.len() });
        Some(chosen)
    }

    /// Adds control instances that a reply names, and with [`MOVE_PROBABILITY`] abandons a parent
    /// in another data centre if one in the own data centre is available.
    fn learn(&self, control: &[ControlEndpoint]) {
        if control.is_empty() {
            return;
        }
        let mut endpoints = self.endpoints.lock();
        for named in control {
            match endpoints.iter_mut().find(|endpoint| endpoint.address == named.address) {
                Some(endpoint) => endpoint.centre = Arc::clone(&named.centre),
                None => endpoints.push(named.clone()),
            }
        }
        let is_local = |address: &SocketAddr| {
            let is_same = |endpoint: &ControlEndpoint| {
                endpoint.address == *address && endpoint.centre == self.settings.centre
            };
            endpoints.iter().any(is_same)
        };
        let is_candidate = |endpoint: &ControlEndpoint| {
            endpoint.centre == self.settings.centre && !self.is_avoided(endpoint.address)
        };
        let mut parent = self.parent.lock();
        let is_remote = parent.is_some_and(|parent| !is_local(&parent));
        if is_remote
            && endpoints.iter().any(is_candidate)
            && rand::rng().random_bool(MOVE_PROBABILITY)
        {
            *parent = None;
        }
    }
}
