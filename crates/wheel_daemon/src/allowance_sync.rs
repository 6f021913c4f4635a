//! Asks for teams' allowances: ingress instances ask control instances, and these the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::watch;
use wheel_agreement::RoleName;
use wheel_control::ControlNode;
use wheel_gateway::FleetState;
use wheel_peer::PeerHub;
use wheel_placement::{AllowanceCaller, FleetRegistry, ParentSync};
use wheel_route::{AllowanceRequest, FleetConfig};
use wheel_seams::boot_now;

/// Time between two calls while no request waits.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// The same while requests wait for units of which there were none.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the stocks of an ingress instance, while the configuration limits teams.
pub(crate) fn spawn_ingress_allowances(
    instance: Arc<str>,
    sync: Arc<ParentSync>,
    hub: PeerHub,
    state: Arc<FleetState>,
) {
    let caller = AllowanceCaller::new(hub);
    let mut configs = state.watch_config();
    tokio::spawn(async move {
        let mut failures = 0;
        loop {
            let has_limits = configs
                .borrow_and_update()
                .as_ref()
                .is_some_and(|active| limits_teams(&active.config));
            if !has_limits {
                if configs.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let table = state.allowance_table();
            let interval = if table.has_waiting() { RETRY_INTERVAL } else { SYNC_INTERVAL };
            let jitter = rand::rng().random_range(0.9..1.1);
            tokio::select! {
                () = tokio::time::sleep(interval.mul_f64(jitter)) => {}
                () = table.urgent() => {}
            }
            let demand = table.demand(state.view().ingress_count);
            if demand.is_empty() {
                continue;
            }
            // After a failure, another one is asked: the parent is replaced only later.
            let Some(control) = sync.control_at(failures) else { continue };
            let request = AllowanceRequest { instance: Arc::clone(&instance), demand };
            let called = boot_now();
            match caller.call(control, &request).await {
                Some(reply) => {
                    failures = 0;
                    table.receive(called, &request.demand, &reply);
                }
                None => failures += 1,
            }
        }
    });
}

fn limits_teams(config: &FleetConfig) -> bool {
    config.teams.iter().flatten().any(|team| team.allowance.is_limited())
}

/// Keeps the pools of a control instance, while the newest configuration limits teams.
pub(crate) fn spawn_control_allowances(
    instance: Arc<str>,
    control: ControlNode,
    hub: PeerHub,
    registry: Arc<FleetRegistry>,
    mut config: watch::Receiver<Option<Arc<FleetConfig>>>,
) {
    let caller = AllowanceCaller::new(hub);
    tokio::spawn(async move {
        let allowances = registry.allowances();
        loop {
            let newest = config.borrow_and_update().clone();
            let teams = newest.as_ref().and_then(|config| config.teams.as_deref());
            allowances.set_teams(teams.unwrap_or_default());
            if !allowances.is_needed() {
                if config.changed().await.is_err() {
                    return;
                }
                continue;
            }
            tokio::select! {
                () = tokio::time::sleep(SYNC_INTERVAL) => {}
                () = allowances.urgent() => {}
                changed = config.changed() => if changed.is_err() { return },
            }
            let Some(status) = control.status().await else { return };
            let is_leading = status.role == RoleName::Leader;
            allowances.set_leading(is_leading.then_some(status.term));
            let leader = status.leader.filter(|leader| leader.instance != status.id.instance);
            let leader: Option<SocketAddr> =
                leader.and_then(|leader| leader.instance.as_str().parse().ok());
            let demand = allowances.unmet();
            let Some(leader) = leader.filter(|_| !is_leading && !demand.is_empty()) else {
                continue;
            };
            let request = AllowanceRequest { instance: Arc::clone(&instance), demand };
            let called = boot_now();
            if let Some(reply) = caller.call(leader, &request).await {
                allowances.receive(called, &request.demand, &reply);
            }
        }
    });
}
