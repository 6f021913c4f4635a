//! The parts of a running daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio_util::task::TaskTracker;
use wheel_control::{ControlNode, GroupClient, ManifestState, ParentSelector};
use wheel_director::{CentreDirector, LeaseDriver};
use wheel_ingress::{DrainDeadline, ManifestSource, RequestMetrics};
use wheel_manifest::ActiveManifest;
use wheel_peer::PeerHub;
use wheel_serving::{DecisionLog, DemandTracker, OwnerTable, ReplicaDirectory};
use wheel_types::{InstanceName, ManifestRevision, UpstreamName};

use crate::{DaemonSettings, InstanceDirectory, InstanceStatus, MemberDriver, ReportSender};

/// Time after the start within which neighbours answer, if there are any.
pub(crate) const NEIGHBOUR_LIMIT: Duration = Duration::from_millis(1_500);

/// Handles to all parts of this process.
pub struct DaemonParts {
    /// The settings.
    pub settings: DaemonSettings,
    /// Calls to other instances.
    pub hub: PeerHub,
    /// The known instances.
    pub instances: Arc<InstanceDirectory>,
    /// The live instances.
    pub members: Arc<MemberDriver>,
    /// The committed manifest.
    pub manifest: Arc<ManifestState>,
    /// This instance's node of the replicated log, on control instances.
    pub control: Option<ControlNode>,
    /// Calls to the group's leader.
    pub group: GroupClient,
    /// The data centre's lease.
    pub lease: Arc<LeaseDriver>,
    /// Controls the data centre's engines while this instance holds the lease.
    pub director: Arc<CentreDirector>,
    /// Reports to and from other instances.
    pub reports: Arc<ReportSender>,
    /// Where models are loaded.
    pub directory: Arc<ReplicaDirectory>,
    /// Upstreams that this instance owns.
    pub owners: Arc<OwnerTable>,
    /// Demand at this instance.
    pub demand: Arc<DemandTracker>,
    /// Recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// Counters of requests.
    pub metrics: Arc<RequestMetrics>,
    /// True once a shutdown has begun.
    pub draining: AtomicBool,
    /// The deadline of a drain.
    pub drain: DrainDeadline,
    /// Tasks that continue without a caller.
    pub detached: TaskTracker,
    /// The revision in force and the time since which it has been in force at this instance.
    pub manifest_since: Mutex<(ManifestRevision, Instant)>,
}

impl DaemonParts {
    /// Whether a shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The preferred instance to follow for the manifest. `None` at a control instance, which gets
    /// it from the log and follows others only while it has no contact with the group.
    pub fn manifest_parent(&self) -> Option<InstanceName> {
        match &self.control {
            Some(_) => None,
            None => self.instances.parents().into_iter().next(),
        }
    }

    /// Whether the live instances of this data centre are known, at time `running` after the start.
    /// An instance that has just started knows no others and would consider itself the only owner.
    pub fn knows_neighbours(&self, running: Duration) -> bool {
        running >= NEIGHBOUR_LIMIT
            || self.instances.is_alone()
            || self.instances.has_live_neighbours()
    }

    /// Owns exactly the upstreams that are assigned to this instance among the live ones.
    pub fn update_ownership(&self, manifest: &ActiveManifest) {
        let owns = |name: &UpstreamName| {
            let spec = manifest.index.upstream(name.as_str());
            spec.is_some_and(|spec| self.instances.owns(&spec.data_centre, name))
        };
        for upstream in self.owners.apply_manifest(manifest, owns) {
            self.directory.forget_report(&upstream, &self.settings.instance);
        }
        self.owners.repeat_reports();
    }

    /// Stops routing to owners of this data centre that are no longer live.
    pub fn mark_dead_owners_unreachable(&self) {
        for owner in self.directory.local_owners() {
            if !self.instances.is_live(&owner) {
                self.directory.mark_owner_unreachable(&owner);
            }
        }
    }

    /// This instance's state, for others.
    pub fn status(&self) -> InstanceStatus {
        let (revision, since) = *self.manifest_since.lock();
        InstanceStatus {
            instance: self.settings.instance.clone(),
            centre: self.settings.centre.clone(),
            revision,
            age_ms: since.elapsed().as_millis() as u64,
            holds_lease: self.lease.authority().is_some(),
            draining: self.is_draining(),
        }
    }
}

/// Provides the manifest in force to the HTTP server.
pub(crate) struct ManifestView(pub(crate) Arc<ManifestState>);

impl ManifestSource for ManifestView {
    fn current(&self) -> Option<Arc<ActiveManifest>> {
        self.0.active()
    }
}
