//! The allowances of teams at an ingress instance, and the requests that wait for them.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use wheel_policy::{
    AllowanceBounds, AllowanceDecision, AllowanceQuery, AllowanceShare, TakenUnits, UseId,
};
use wheel_route::{AllowanceDemand, AllowanceReply};
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;

/// Maximum number of teams with metric labels of their own.
const MAX_LABELS: usize = 64;
/// The label of all other teams.
const OTHER_LABEL: &str = "other";

/// The share of this instance, and whom to tell when a request has its units.
pub struct AllowanceTable {
    share: Mutex<AllowanceShare>,
    waiting: Mutex<HashMap<UseId, oneshot::Sender<TakenUnits>>>,
    urgent: Notify,
    labels: Mutex<HashSet<Arc<str>>>,
}

impl Default for AllowanceTable {
    fn default() -> Self {
        Self {
            share: Mutex::new(AllowanceShare::open(AllowanceBounds::default(), boot_now())),
            waiting: Mutex::default(),
            urgent: Notify::new(),
            labels: Mutex::default(),
        }
    }
}

/// What a request that needs units has at once.
pub(crate) enum AllowanceAnswer {
    /// Its units.
    Taken(TakenUnits),
    /// The promise of them.
    Waiting(UseId, oneshot::Receiver<TakenUnits>),
    /// Neither; units are probably there after this time.
    Refused(Duration),
}

impl AllowanceTable {
    /// Takes over the deployment's bounds. To be called before requests come.
    pub fn set_bounds(&self, bounds: AllowanceBounds) {
        self.share.lock().set_bounds(bounds);
    }

    /// Takes units for a request, or has it wait, which triggers a call at once.
    pub(crate) fn ask(&self, query: &AllowanceQuery) -> AllowanceAnswer {
        let now = boot_now();
        let mut share = self.share.lock();
        match share.ask(now, query) {
            AllowanceDecision::Taken(taken) => {
                let is_urgent = share.is_urgent(now);
                drop(share);
                if is_urgent {
                    self.urgent.notify_one();
                }
                AllowanceAnswer::Taken(taken)
            }
            AllowanceDecision::Refused(after) => AllowanceAnswer::Refused(after),
            AllowanceDecision::Waiting(id) => {
                let (sender, receiver) = oneshot::channel();
                // Within the lock of the share, so that no grant overtakes it.
                self.waiting.lock().insert(id, sender);
                drop(share);
                self.urgent.notify_one();
                AllowanceAnswer::Waiting(id, receiver)
            }
        }
    }

    /// Ends a wait. Units that came meanwhile are given back. Returns how long the request would have
    /// had to wait on.
    pub(crate) fn leave(
        &self,
        team: &str,
        id: UseId,
        receiver: &mut oneshot::Receiver<TakenUnits>,
    ) -> Duration {
        let now = boot_now();
        let mut share = self.share.lock();
        self.waiting.lock().remove(&id);
        let after = share.leave(now, team, id);
        if let Ok(taken) = receiver.try_recv() {
            share.refund(now, taken);
        }
        let served = share.serve(now);
        self.hand_out(&mut share, served);
        after
    }

    /// Gives back the units of a request that certainly didn't run.
    pub(crate) fn refund(&self, taken: TakenUnits) {
        let now = boot_now();
        let mut share = self.share.lock();
        share.refund(now, taken);
        let served = share.serve(now);
        self.hand_out(&mut share, served);
    }

    /// What to ask a control instance for, with the number of ingress instances that is known.
    pub fn demand(&self, ingress_count: u32) -> Vec<AllowanceDemand> {
        let (now, mut share) = (boot_now(), self.share.lock());
        share.record_instances(now, ingress_count);
        share.demand(now)
    }

    /// Takes over the reply to what was asked for at `called`.
    pub fn receive(
        &self,
        called: MonotonicTime,
        asked: &[AllowanceDemand],
        reply: &AllowanceReply,
    ) {
        let now = boot_now();
        let mut share = self.share.lock();
        let served = share.receive(now, called, asked, reply);
        self.hand_out(&mut share, served);
        let is_urgent = share.is_urgent(now);
        drop(share);
        if is_urgent {
            self.urgent.notify_one();
        }
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.share.lock().has_waiting()
    }

    /// Completes when a control instance should be asked at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    fn hand_out(&self, share: &mut AllowanceShare, served: Vec<(UseId, TakenUnits)>) {
        let mut waiting = self.waiting.lock();
        for (id, taken) in served {
            let rest = match waiting.remove(&id) {
                Some(sender) => sender.send(taken).err(),
                None => Some(taken),
            };
            if let Some(taken) = rest {
                share.refund(boot_now(), taken);
            }
        }
    }

    /// The metric label of a team.
    pub(crate) fn label(&self, team: &Arc<str>) -> String {
        let mut labels = self.labels.lock();
        if labels.contains(team) || labels.len() < MAX_LABELS {
            labels.insert(Arc::clone(team));
            return team.to_string();
        }
        OTHER_LABEL.to_owned()
    }
}
