//! Parts shared by both roles of a fleet with service discovery.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use snafu::ResultExt;
use tokio::runtime::Handle;
use wheel_peer::{PeerHub, PeerSecret, PeerSettings};
use wheel_types::{IncarnationId, InstanceName};

use crate::fleet_router::FleetRouter;
use crate::peer_metrics::{describe_peer_metrics, record_peer_metrics};
use crate::running_daemon::PeerSnafu;
use crate::{FleetSettings, StartError};

/// Time between two readings of the list of upstreams. Together with the list's lag and the delay
/// to the ingress instances it stays well below the time after which a leaving upstream must get no
/// work.
pub(crate) const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two updates of the metrics of calls between instances.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// The group name that all instances of a fleet share.
const FLEET_GROUP: &str = "fleet";

/// Listens for other instances.
pub(crate) fn bind_fleet_hub(
    settings: &FleetSettings,
    router: FleetRouter,
) -> Result<PeerHub, StartError> {
    let name = InstanceName::from(settings.peer.to_string().as_str());
    let peer = PeerSettings::new(FLEET_GROUP, name, Handle::current())
        .incarnation(IncarnationId(rand::rng().random()))
        .secret(PeerSecret::new(Arc::clone(&settings.secret)))
        .listen(settings.peer);
    let hub = PeerHub::bind(peer, Arc::new(router)).context(PeerSnafu)?;
    describe_peer_metrics();
    let metered = hub.clone();
    tokio::spawn(async move {
        loop {
            record_peer_metrics(&metered.counters());
            tokio::time::sleep(METRICS_INTERVAL).await;
        }
    });
    Ok(hub)
}
