//! The parts of a running daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio_util::task::TaskTracker;
use wheel_control::{ControlNode, GroupClient, ParentChoice, TextState};
use wheel_director::{CentreDirector, LeaseDriver};
use wheel_ingress::{DrainDeadline, ManifestSource, RequestMetrics};
use wheel_manifest::ActiveManifest;
use wheel_peer::PeerHub;
use wheel_serving::{DecisionLog, DemandBoard, OwnerTable, ReplicaDirectory};
use wheel_types::{InstanceName, ManifestRevision, UpstreamName};

use crate::{DaemonSettings, InstanceDirectory, InstanceStatus, MemberDriver, ReportSender};

/// Time after the start in which neighbours answer, if there are any.
pub(crate) const NEIGHBOUR_LIMIT: Duration = Duration::from_millis(1_500);

/// Handles to everything that runs in this process.
pub struct DaemonParts {
    /// The settings.
    pub settings: DaemonSettings,
    /// Calls to other instances.
    pub hub: PeerHub,
    /// The known instances.
    pub book: Arc<InstanceDirectory>,
    /// The live instances.
    pub members: Arc<MemberDriver>,
    /// The committed text held here.
    pub text: Arc<TextState>,
    /// This instance's part in the replicated log.
    pub control: Option<ControlNode>,
    /// Calls to the group's leader.
    pub group: GroupClient,
    /// The data centre's lease.
    pub lease: Arc<LeaseDriver>,
    /// The data centre's engines, while this instance holds the lease.
    pub director: Arc<CentreDirector>,
    /// Reports to and from other instances.
    pub reports: Arc<ReportSender>,
    /// Where models are loaded.
    pub directory: Arc<ReplicaDirectory>,
    /// Upstreams that this instance owns.
    pub owners: Arc<OwnerTable>,
    /// Demand at this instance.
    pub demand: Arc<DemandBoard>,
    /// Recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// Counters of requests.
    pub metrics: Arc<RequestMetrics>,
    /// True from the first sign of a shutdown on.
    pub draining: AtomicBool,
    /// When a draining instance must have answered.
    pub drain: DrainDeadline,
    /// What goes on without a caller.
    pub detached: TaskTracker,
    /// When the text in force came into force here.
    pub text_since: Mutex<(ManifestRevision, Instant)>,
}

impl DaemonParts {
    /// Whether a shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The instance from which the text is followed first; `None` at a control instance, which has
    /// it from the log and follows others only while it is cut off from the group.
    pub fn text_parent(&self) -> Option<InstanceName> {
        match &self.control {
            Some(_) => None,
            None => self.book.parents().into_iter().next(),
        }
    }

    /// Whether it is known who else is live in this data centre, `running` after the start. An
    /// instance that has just started knows nobody and would take itself for the only owner.
    pub fn knows_neighbours(&self, running: Duration) -> bool {
        running >= NEIGHBOUR_LIMIT || self.book.is_alone() || self.book.sees_neighbours()
    }

    /// Owns exactly what falls to this instance among the live ones.
    pub fn follow_ownership(&self, text: &ActiveManifest) {
        let owns = |name: &UpstreamName| {
            let spec = text.index.upstream(name.as_str());
            spec.is_some_and(|spec| self.book.owns(&spec.data_centre, name))
        };
        for upstream in self.owners.follow(text, owns) {
            self.directory.forget_report(&upstream, &self.settings.instance);
        }
        self.owners.repeat_reports();
    }

    /// Stops routing to owners of this data centre that aren't live any more.
    pub fn forget_dead_owners(&self) {
        for owner in self.directory.near_owners() {
            if !self.book.is_live(&owner) {
                self.directory.note_owner_gone(&owner);
            }
        }
    }

    /// This instance's state, for others.
    pub fn status(&self) -> InstanceStatus {
        let (revision, since) = *self.text_since.lock();
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

/// The front's view of the text in force.
pub(crate) struct TextView(pub(crate) Arc<TextState>);

impl ManifestSource for TextView {
    fn current(&self) -> Option<Arc<ActiveManifest>> {
        self.0.serving()
    }
}
