//! Teams' allowances at a control instance.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use wheel_policy::{AllowanceBounds, AllowanceGrantor};
use wheel_route::{AllowanceDemand, AllowanceReply, AllowanceRequest, ConfigProof, TeamSpec};
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;

/// How long a reply is held for units that the leader is asked for: two calls to it, and the
/// scheduling delay of a busy instance.
const HOLD: Duration = Duration::from_millis(40);

/// Divides teams' allowances between the instances that ask this one.
pub struct AllowanceRegistry {
    proof: Arc<ConfigProof>,
    grantor: Mutex<AllowanceGrantor>,
    urgent: Notify,
    arrived: Notify,
}

impl AllowanceRegistry {
    /// Creates a registry without teams, at an instance whose leadership is proven by `proof`.
    pub(crate) fn open(proof: Arc<ConfigProof>) -> Self {
        Self { proof, grantor: Mutex::default(), urgent: Notify::new(), arrived: Notify::new() }
    }

    /// Takes over the deployment's bounds. To be called before teams are set.
    pub fn set_bounds(&self, bounds: AllowanceBounds) {
        *self.grantor.lock() = AllowanceGrantor::open(bounds);
    }

    /// Takes over the teams of the newest configuration.
    pub fn set_teams(&self, teams: &[Arc<TeamSpec>]) {
        self.grantor.lock().set_teams(teams);
    }

    /// Whether any team is limited.
    pub fn is_needed(&self) -> bool {
        self.grantor.lock().is_needed()
    }

    /// Records in which term this instance leads the control instances, if it does.
    pub fn set_leading(&self, term: Option<u64>) {
        self.grantor.lock().set_leading(boot_now(), term);
    }

    /// Answers an instance. While requests wait there for units that the leader may have, the answer
    /// is held for a moment.
    pub async fn answer(&self, request: AllowanceRequest) -> AllowanceReply {
        let is_low = {
            let (now, mut grantor) = (boot_now(), self.grantor.lock());
            grantor.record(now, &request.instance, &request.demand);
            grantor.is_low(now)
        };
        if is_low {
            self.urgent.notify_one();
        }
        let end = Instant::now() + HOLD;
        let mut reply = AllowanceReply::default();
        loop {
            let arrived = self.arrived.notified();
            tokio::pin!(arrived);
            // Registered before the units are counted, so that none arrive unnoticed.
            arrived.as_mut().enable();
            let (more, is_expected) = self.grant(&request.instance);
            reply.grants.extend(more.grants);
            reply.waits.extend(more.waits);
            if !is_expected || tokio::time::timeout_at(end, arrived).await.is_err() {
                return reply;
            }
        }
    }

    fn grant(&self, instance: &str) -> (AllowanceReply, bool) {
        let (now, proof_age) = (boot_now(), self.proof.age(boot_now()));
        let mut grantor = self.grantor.lock();
        let reply = grantor.grant(now, instance, proof_age);
        (reply, grantor.expects_grant(now, instance))
    }

    /// What to ask the leader for.
    pub fn unmet(&self) -> Vec<AllowanceDemand> {
        self.grantor.lock().unmet(boot_now())
    }

    /// Takes over the leader's reply to what was asked for at `called`.
    pub fn receive(
        &self,
        called: MonotonicTime,
        asked: &[AllowanceDemand],
        reply: &AllowanceReply,
    ) {
        let is_low = {
            let (now, mut grantor) = (boot_now(), self.grantor.lock());
            grantor.receive(now, called, asked, reply);
            grantor.is_low(now)
        };
        self.arrived.notify_waiters();
        if is_low {
            self.urgent.notify_one();
        }
    }

    /// Completes when the leader should be asked at once.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }
}
