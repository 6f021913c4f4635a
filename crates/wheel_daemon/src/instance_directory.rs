//! The instances known to this one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::RwLock;
use wheel_control::{AddressResolver, ParentSelector};
use wheel_director::GrantorResolver;
use wheel_membership::{LiveMember, MemberView, OwnerMap};
use wheel_peer::PeerAddress;
use wheel_types::{CentreName, IncarnationId, InstanceName, UpstreamName};

use crate::PeerEntry;

/// Number of children per instance in the tree that distributes manifests within a data centre.
const TREE_FANOUT: usize = 4;

/// The addresses of all instances, and which of them are live.
pub struct InstanceDirectory {
    own: PeerEntry,
    incarnation: IncarnationId,
    control: Vec<InstanceName>,
    /// Instances named by the settings, whether live or not.
    listed: HashMap<InstanceName, PeerEntry>,
    view: RwLock<Arc<MemberView>>,
    /// Counts calls of `parents`, to rotate the control instances of other data centres.
    rounds: AtomicUsize,
}

impl InstanceDirectory {
    /// Creates a directory in which no instance is live.
    pub fn open(
        own: PeerEntry,
        incarnation: IncarnationId,
        peers: &[PeerEntry],
        control: &[InstanceName],
    ) -> Arc<Self> {
        let listed = peers.iter().map(|peer| (peer.instance.clone(), peer.clone())).collect();
        Arc::new(Self {
            own,
            incarnation,
            control: control.to_vec(),
            listed,
            view: RwLock::default(),
            rounds: AtomicUsize::new(0),
        })
    }

    /// This instance.
    pub fn own(&self) -> &PeerEntry {
        &self.own
    }

    /// Replaces the live instances.
    pub fn set_view(&self, view: Arc<MemberView>) {
        *self.view.write() = view;
    }

    /// The live instances of this data centre and the contacts in others, without this one.
    pub fn live_others(&self) -> Vec<LiveMember> {
        let view = self.view();
        let members = view.centres.values().flatten();
        members.filter(|member| member.address.name != self.own.instance).cloned().collect()
    }

    /// All instances by name, whether live or not.
    pub fn listed(&self) -> Vec<PeerEntry> {
        let mut listed: Vec<PeerEntry> = self.listed.values().cloned().collect();
        listed.sort_by(|left, right| left.instance.cmp(&right.instance));
        listed
    }

    /// Whether the settings list no other instance of this data centre.
    pub fn is_alone(&self) -> bool {
        let own = &self.own;
        let is_neighbour =
            |peer: &PeerEntry| peer.centre == own.centre && peer.instance != own.instance;
        !self.listed.values().any(is_neighbour)
    }

    /// Whether another instance of this data centre is live.
    pub fn has_live_neighbours(&self) -> bool {
        let view = self.view();
        view.centre(&self.own.centre).iter().any(|member| member.address.name != self.own.instance)
    }

    /// Whether an instance of this data centre is live.
    pub fn is_live(&self, instance: &InstanceName) -> bool {
        instance == &self.own.instance || self.view().find(instance).is_some()
    }

    /// Whether that incarnation of an instance may still be running. Only the names of instances in
    /// other data centres are known, so that they count as alive as long as they are listed.
    pub fn is_alive(&self, instance: &InstanceName, incarnation: IncarnationId) -> bool {
        if instance == &self.own.instance {
            return incarnation == self.incarnation;
        }
        let view = self.view();
        match view.find(instance) {
            Some(member) => member.incarnation.is_none_or(|live| live <= incarnation),
            None => self.listed.get(instance).is_some_and(|peer| peer.centre != self.own.centre),
        }
    }

    /// Whether this instance owns an upstream of `centre`.
    pub fn owns(&self, centre: &CentreName, upstream: &UpstreamName) -> bool {
        let view = self.view();
        let owner = OwnerMap::owner(&view, centre, upstream);
        centre == &self.own.centre && owner == Some(&self.own.instance)
    }

    fn view(&self) -> Arc<MemberView> {
        Arc::clone(&self.view.read())
    }

    /// The parent in the distribution tree of this data centre, and all other live instances of it.
    fn neighbours(&self) -> (Option<InstanceName>, Vec<InstanceName>) {
        let view = self.view();
        let members = view.centre(&self.own.centre);
        let names: Vec<InstanceName> =
            members.iter().map(|member| member.address.name.clone()).collect();
        let position = names.iter().position(|name| name == &self.own.instance);
        let parent = match position {
            Some(0) | None => None,
            Some(position) => names.get((position - 1) / TREE_FANOUT).cloned(),
        };
        let others = names.into_iter().filter(|name| name != &self.own.instance).collect();
        (parent, others)
    }
}

impl AddressResolver for InstanceDirectory {
    fn peer_address(&self, instance: &InstanceName) -> Option<PeerAddress> {
        let view = self.view();
        let live = view.find(instance).map(|member| member.address.peer);
        let address = live.or_else(|| self.listed.get(instance).map(|entry| entry.peer))?;
        Some(PeerAddress::new(instance.clone(), address))
    }
}

impl GrantorResolver for InstanceDirectory {
    fn grantor_address(&self, instance: &InstanceName) -> Option<PeerAddress> {
        self.peer_address(instance)
    }
}

impl ParentSelector for InstanceDirectory {
    /// The tree's parent first, then control instances, those of this data centre first and the
    /// others in rotating order, then neighbours.
    fn parents(&self) -> Vec<InstanceName> {
        let (parent, neighbours) = self.neighbours();
        let others: Vec<&InstanceName> =
            self.control.iter().filter(|name| *name != &self.own.instance).collect();
        let is_near = |name: &InstanceName| {
            self.listed.get(name).is_some_and(|entry| entry.centre == self.own.centre)
        };
        let (near, mut far): (Vec<&InstanceName>, Vec<&InstanceName>) =
            others.into_iter().partition(|name| is_near(name));
        let round = self.rounds.fetch_add(1, Ordering::Relaxed);
        if !far.is_empty() {
            let offset = round % far.len();
            far.rotate_left(offset);
        }
        let mut parents: Vec<InstanceName> = Vec::new();
        let control = near.into_iter().chain(far).cloned();
        for name in parent.into_iter().chain(control).chain(neighbours) {
            if !parents.contains(&name) {
                parents.push(name);
            }
        }
        parents
    }
}
