//! Syncs the state of this instance with a control instance several times a second.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use metrics::histogram;
use parking_lot::Mutex;
use rand::Rng;
use spdlog::{info, warn};
use tokio::time::{Instant, sleep_until};
use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_route::{ConfigProof, SyncAnswer, SyncReply, SyncRequest};
use wheel_seams::boot_now;
use wheel_types::{InstanceName, MonotonicTime};

use crate::view_table::ViewTable;
use crate::{ControlTable, DocumentFetch};

/// Time limit for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a reply that could be delayed until a change (long polling).
const LONG_POLL_PAUSE: Duration = Duration::from_millis(20);
/// Age of a control instance's proof of its configuration, above which another one is used: it may
/// lack configurations that are in force.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1_000);
/// Age of the last proof at which a further control instance is called beside one that hasn't
/// replied yet. Several silent ones in a row must fit between it and the time within which a
/// configuration must be in force.
const HEDGE_AGE: Duration = Duration::from_millis(900);
/// Shortest time between two calls of one sync while none has failed.
const HEDGE_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a call that failed, before the next one.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of control instances that are called for one sync.
const MAX_CALLS: usize = 5;
/// Age of the own proof above which its lack is logged.
const UNPROVEN_AGE: Duration = Duration::from_millis(1_500);

/// Probability at each sync of trying a control instance of the own data centre instead of a parent
/// in another one. Less than 1, so that many ingress instances don't move at once.
const MOVE_PROBABILITY: f64 = 0.1;

/// Own identity and timing of syncs.
#[derive(Clone, Debug)]
pub struct SyncSettings {
    /// The own address for other instances, which is also the own instance name.
    pub own: SocketAddr,
    /// The own data centre.
    pub centre: Arc<str>,
    /// Time between two syncs.
    pub interval: Duration,
}

/// A reply to a call, with the moment at which the call was made.
struct TimedReply {
    called: MonotonicTime,
    reply: SyncReply,
}

/// Chooses a control instance as parent and syncs with it while its replies prove which
/// configuration is the newest one. A newer one than the own is fetched from it.
pub struct ParentSync {
    settings: SyncSettings,
    hub: PeerHub,
    fetch: Arc<DocumentFetch>,
    controls: Mutex<ControlTable>,
    views: Mutex<ViewTable>,
    /// Proof that the configuration in force here was the newest one.
    proof: Arc<ConfigProof>,
    /// Proof of which version was the newest one, whether its document has arrived or not.
    newest: ConfigProof,
}

impl ParentSync {
    /// Creates a sync that knows the seeds. What proves the configuration in force is recorded in
    /// `proof`.
    pub fn open(
        settings: SyncSettings,
        hub: PeerHub,
        fetch: Arc<DocumentFetch>,
        proof: Arc<ConfigProof>,
        seeds: &[SocketAddr],
    ) -> Arc<Self> {
        let controls = ControlTable::open(Arc::clone(&settings.centre), seeds);
        Arc::new(Self {
            settings,
            hub,
            fetch,
            controls: Mutex::new(controls),
            views: Mutex::default(),
            proof,
            newest: ConfigProof::default(),
        })
    }

    /// Adds seeds, whose data centres aren't known.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.controls.lock().add_seeds(seeds);
    }

    /// The control instance to call after a number of failed calls; the parent comes first.
    pub fn control_at(&self, failures: usize) -> Option<SocketAddr> {
        let candidates = self.controls.lock().candidates(Instant::now(), false);
        let index = failures.checked_rem(candidates.len())?;
        candidates.get(index).copied()
    }

    /// Runs until aborted: `prepare` builds each request, `take` receives each reply and returns
    /// the version of the configuration that is in force, and a sync is made at once when the future
    /// of `urgent` completes.
    pub async fn run<U: Future<Output = ()> + Send>(
        self: Arc<Self>,
        prepare: impl Fn() -> SyncRequest + Send,
        take: impl Fn(&SyncReply) -> u64 + Send + Sync,
        urgent: impl Fn() -> U + Send,
    ) {
        let (mut was_connected, mut was_proven) = (true, true);
        loop {
            let request = prepare();
            let is_connected = self.sync(&request, &take).await;
            if is_connected != was_connected {
                match is_connected {
                    true => info!("control_regained"),
                    false => warn!("control_lost"),
                }
                was_connected = is_connected;
            }
            was_proven = self.log_proof(was_proven, request.version);
            let jitter = rand::rng().random_range(0.9..1.1);
            let pause = match is_connected {
                true if request.hold_ms > 0 => LONG_POLL_PAUSE,
                true => self.settings.interval.mul_f64(jitter),
                false => self.settings.interval.mul_f64(jitter) / 2,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = urgent() => {}
            }
        }
    }

    /// Calls the parent, then other control instances one after another until one replies. The next
    /// one is called soon after a call fails, else when the last proof has become old; calls without
    /// a reply go on meanwhile. Returns whether one has replied.
    async fn sync(
        &self,
        request: &SyncRequest,
        take: &(impl Fn(&SyncReply) -> u64 + Sync),
    ) -> bool {
        let tries_local = rand::rng().random_bool(MOVE_PROBABILITY);
        let candidates = self.controls.lock().candidates(Instant::now(), tries_local);
        let mut candidates = candidates.into_iter().take(MAX_CALLS);
        let mut calls = FuturesUnordered::new();
        let mut unanswered = Vec::new();
        let mut next_call = Instant::now();
        loop {
            tokio::select! {
                biased;
                Some((control, answer)) = calls.next() => {
                    let answer: Option<TimedReply> = answer;
                    let Some(answer) = answer else {
                        unanswered.retain(|called| *called != control);
                        self.controls.lock().record_silence(Instant::now(), control);
                        next_call = next_call.min(Instant::now() + FAILURE_PAUSE);
                        continue;
                    };
                    let is_current = self.take_reply(control, &answer, take);
                    let (now, mut controls) = (Instant::now(), self.controls.lock());
                    for late in unanswered.into_iter().filter(|called| *called != control) {
                        controls.record_silence(now, late);
                    }
                    match is_current {
                        true => controls.keep(control, &answer.reply.control),
                        false => controls.record_unproven(now, control),
                    }
                    return true;
                }
                () = sleep_until(next_call), if candidates.len() > 0 => {
                    if let Some(control) = candidates.next() {
                        unanswered.push(control);
                        calls.push(async move { (control, self.timed_call(control, request).await) });
                    }
                    next_call = Instant::now() + self.hedge_delay();
                }
                else => return false,
            }
        }
    }

    /// How long to wait for the replies to the calls made so far before calling another instance.
    fn hedge_delay(&self) -> Duration {
        let age = self.newest.age(boot_now()).unwrap_or(HEDGE_AGE);
        HEDGE_AGE.saturating_sub(age).max(HEDGE_PAUSE)
    }

    /// Takes over a reply. Returns whether it proves which configuration was the newest one a moment
    /// ago. That proves the own configuration only if it is as new.
    fn take_reply(
        &self,
        control: SocketAddr,
        answer: &TimedReply,
        take: &impl Fn(&SyncReply) -> u64,
    ) -> bool {
        let TimedReply { called, reply } = answer;
        self.proof.record_version(reply.version);
        let version = take(reply);
        self.fetch.request(reply.version, control);
        if let Some(age) = self.proof.age(boot_now()) {
            histogram!("wheel_config_proof_age_seconds").record(age.as_secs_f64());
        }
        let Some(age) = reply.proof_age() else { return false };
        self.newest.record(called.before(age));
        if version >= reply.version {
            self.proof.record(called.before(age));
        }
        age <= MAX_REPLY_AGE
    }

    /// Makes one call to the given control instance; `None` if no valid reply is received.
    pub async fn call(&self, control: SocketAddr, request: &SyncRequest) -> Option<SyncReply> {
        let held_view = self.views.lock().stamp(control);
        let request = SyncRequest { held_view, ..request.clone() };
        let body = postcard::to_stdvec(&request).ok()?;
        let address = PeerAddress::new(InstanceName::from(control.to_string().as_str()), control);
        let (called, received) = (Instant::now(), self.hub.counters().wire_received);
        let answer = self.hub.call(&address, PeerChannel::Report, body, REPLY_TIMEOUT).await;
        match answer {
            Ok(answer) => {
                let SyncAnswer { reply, view } = postcard::from_bytes(&answer).ok()?;
                let fleet = view.and_then(|update| self.views.lock().apply(control, update));
                Some(SyncReply { fleet, ..reply })
            }
            Err(error) => {
                // Bytes that came from any instance meanwhile tell a full link from a silent peer.
                let received = self.hub.counters().wire_received - received;
                info!("sync_failed", kv: {
                    control = control.to_string(), reason:? = error.to_string(),
                    ms = called.elapsed().as_millis(), received_bytes = received
                });
                None
            }
        }
    }

    async fn timed_call(&self, control: SocketAddr, request: &SyncRequest) -> Option<TimedReply> {
        let called = boot_now();
        let reply = self.call(control, request).await?;
        Some(TimedReply { called, reply })
    }

    /// Logs when the configuration isn't proven any more, and when it is again. Returns whether it
    /// is.
    fn log_proof(&self, was_proven: bool, version: u64) -> bool {
        let age = self.proof.age(boot_now());
        let is_proven = age.is_some_and(|age| age < UNPROVEN_AGE);
        let control = self.controls.lock().parent().map(|parent| parent.to_string());
        let control = control.unwrap_or_default();
        match is_proven {
            true if !was_proven => info!("config_proven", kv: { version, control }),
            false if was_proven => warn!("config_unproven", kv: {
                version, control, age_ms = age.map(|age| age.as_millis()).unwrap_or_default(),
                awaited = self.fetch.awaited().unwrap_or_default()
            }),
            _ => {}
        }
        is_proven
    }
}
