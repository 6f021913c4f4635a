//! Tells a control instance what is known here, and takes its reply, several times a second.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::Instant;
use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_route::{ControlPlace, SyncAsk, SyncReply};
use wheel_types::InstanceName;

/// Time that a reply may take.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a reply that was held for a change.
const HELD_PAUSE: Duration = Duration::from_millis(20);
/// Age of a control instance's touch with the group, in milliseconds, from which another one is asked: it may
/// lack configurations that are in force.
const MAX_GROUP_AGE_MS: u64 = 700;
/// How long such an instance isn't asked while there are others.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Chance at each reply of moving to a control instance of the own data centre, so that many entries don't
/// move at once.
const MOVE_CHANCE: f64 = 0.1;

/// What a sync reports to whoever runs it.
#[derive(Clone, Debug)]
pub enum SyncEnd {
    /// A reply came.
    Replied(Box<SyncReply>),
    /// None came.
    Failed,
}

/// How often, and where to.
#[derive(Clone, Debug)]
pub struct SyncSettings {
    /// The own address for other instances, which is also the own name.
    pub own: SocketAddr,
    /// The own data centre.
    pub centre: Arc<str>,
    /// Time between two calls.
    pub interval: Duration,
}

/// Chooses a control instance and keeps to it while it answers.
pub struct ParentSync {
    settings: SyncSettings,
    hub: PeerHub,
    /// Seeds and the control instances that were named since.
    places: Mutex<Vec<ControlPlace>>,
    parent: Mutex<Option<SocketAddr>>,
    /// Control instances that didn't answer or are out of touch with the group, and since when.
    avoided: Mutex<HashMap<SocketAddr, Instant>>,
}

impl ParentSync {
    /// Makes a sync that knows the seeds.
    pub fn open(settings: SyncSettings, hub: PeerHub, seeds: &[SocketAddr]) -> Arc<Self> {
        let sync = Self {
            settings,
            hub,
            places: Mutex::default(),
            parent: Mutex::default(),
            avoided: Mutex::default(),
        };
        sync.add_seeds(seeds);
        Arc::new(sync)
    }

    /// Adds seeds, whose data centres aren't known.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        let mut places = self.places.lock();
        for address in seeds {
            if places.iter().all(|place| place.address != *address) {
                places.push(ControlPlace { address: *address, centre: "".into() });
            }
        }
    }

    /// Runs for good: `prepare` makes each call, `take` gets its end, `urgent` asks for one at once.
    pub async fn run<U: Future<Output = ()> + Send>(
        self: Arc<Self>,
        prepare: impl Fn() -> SyncAsk + Send,
        take: impl Fn(SyncEnd) + Send,
        urgent: impl Fn() -> U + Send,
    ) {
        let mut was_heard = true;
        loop {
            let parent = self.choose();
            let ask = prepare();
            let was_held = ask.hold_ms > 0;
            let end = match parent {
                Some(parent) => self.call(parent, &ask).await,
                None => SyncEnd::Failed,
            };
            let is_heard = matches!(end, SyncEnd::Replied(_));
            if is_heard != was_heard {
                let parent = parent.map(|parent| parent.to_string()).unwrap_or_default();
                match is_heard {
                    true => info!("control_regained", kv: { control = parent }),
                    false => warn!("control_lost", kv: { control = parent }),
                }
                was_heard = is_heard;
            }
            match &end {
                SyncEnd::Replied(reply) if reply.group_age_ms > MAX_GROUP_AGE_MS => {
                    self.learn(&reply.control);
                    self.avoid(parent);
                }
                SyncEnd::Replied(reply) => self.learn(&reply.control),
                SyncEnd::Failed => self.avoid(parent),
            }
            take(end);
            let spread = rand::rng().random_range(0.9..1.1);
            let pause = match is_heard {
                true if was_held => HELD_PAUSE,
                true => self.settings.interval.mul_f64(spread),
                false => self.settings.interval.mul_f64(spread) / 2,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = urgent() => {}
            }
        }
    }

    /// One call to a given control instance.
    pub async fn call(&self, parent: SocketAddr, ask: &SyncAsk) -> SyncEnd {
        let Ok(body) = postcard::to_stdvec(ask) else { return SyncEnd::Failed };
        let address = PeerAddress::new(InstanceName::from(parent.to_string().as_str()), parent);
        let answer = self.hub.call(&address, PeerChannel::Report, body, REPLY_TIMEOUT).await;
        let reply = answer.ok().and_then(|body| postcard::from_bytes::<SyncReply>(&body).ok());
        reply.map_or(SyncEnd::Failed, |reply| SyncEnd::Replied(Box::new(reply)))
    }

    /// Leaves a control instance for another one.
    fn avoid(&self, parent: Option<SocketAddr>) {
        *self.parent.lock() = None;
        if let Some(parent) = parent {
            self.avoided.lock().insert(parent, Instant::now());
        }
    }

    /// Whether a control instance was left a moment ago.
    fn is_avoided(&self, address: SocketAddr) -> bool {
        let mut avoided = self.avoided.lock();
        avoided.retain(|_, since| since.elapsed() < AVOID_TIME);
        avoided.contains_key(&address)
    }

    /// The control instance in use, else one at random, those of the own data centre first.
    fn choose(&self) -> Option<SocketAddr> {
        let held = *self.parent.lock();
        if held.is_some() {
            return held;
        }
        let places = self.places.lock().clone();
        let able: Vec<&ControlPlace> =
            places.iter().filter(|place| !self.is_avoided(place.address)).collect();
        let near: Vec<&ControlPlace> =
            able.iter().filter(|place| place.centre == self.settings.centre).copied().collect();
        let all: Vec<&ControlPlace> = places.iter().collect();
        let pool = [near, able, all].into_iter().find(|pool| !pool.is_empty())?;
        let chosen = pool[rand::rng().random_range(0..pool.len())].address;
        *self.parent.lock() = Some(chosen);
        Some(chosen)
    }

    /// Learns control instances, and moves to one of the own data centre.
    fn learn(&self, control: &[ControlPlace]) {
        if control.is_empty() {
            return;
        }
        let mut places = self.places.lock();
        for known in control {
            match places.iter_mut().find(|place| place.address == known.address) {
                Some(place) => place.centre = Arc::clone(&known.centre),
                None => places.push(known.clone()),
            }
        }
        let is_near = |address: &SocketAddr| {
            let near = |place: &ControlPlace| {
                place.address == *address && place.centre == self.settings.centre
            };
            places.iter().any(near)
        };
        let is_able = |place: &ControlPlace| {
            place.centre == self.settings.centre && !self.is_avoided(place.address)
        };
        let mut parent = self.parent.lock();
        let is_far = parent.is_some_and(|parent| !is_near(&parent));
        if is_far && places.iter().any(is_able) && rand::rng().random_bool(MOVE_CHANCE) {
            *parent = None;
        }
    }
}
