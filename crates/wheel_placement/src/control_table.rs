//! The control instances that this instance may sync with.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use spdlog::info;
use tokio::time::Instant;
use wheel_route::ControlEndpoint;

/// How long a control instance isn't used while there are others. Each further silence in a row
/// doubles it, up to [`MAX_AVOID_TIME`].
const AVOID_TIME: Duration = Duration::from_secs(2);
const MAX_AVOID_TIME: Duration = Duration::from_secs(16);

/// Why and until when a control instance isn't used while there are others.
#[derive(Clone, Copy, Debug)]
struct Avoidance {
    /// Calls without a reply since the last reply.
    silences: u32,
    until: Instant,
}

/// Seeds and the control instances that the parent names, ordered by how likely they are to reply.
#[derive(Debug)]
pub(crate) struct ControlTable {
    centre: Arc<str>,
    seeds: Vec<SocketAddr>,
    /// Control instances named in the last usable reply.
    named: Vec<ControlEndpoint>,
    parent: Option<SocketAddr>,
    avoided: HashMap<SocketAddr, Avoidance>,
}

impl ControlTable {
    /// Creates a table for an instance in `centre`.
    pub(crate) fn open(centre: Arc<str>, seeds: &[SocketAddr]) -> Self {
        let mut table = Self {
            centre,
            seeds: Vec::new(),
            named: Vec::new(),
            parent: None,
            avoided: HashMap::new(),
        };
        table.add_seeds(seeds);
        table
    }

    /// Adds seeds, whose data centres aren't known.
    pub(crate) fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
        }
    }

    /// The control instance that gave the last usable reply.
    pub(crate) fn parent(&self) -> Option<SocketAddr> {
        self.parent
    }

    /// All known control instances in the order in which they are to be called: the parent, others
    /// of the own data centre, others, those that couldn't prove their configuration, and last those
    /// that were silent, the earliest end first. While the group has no leader, none can prove its
    /// configuration, and the silent ones must still be the last.
    /// With `tries_local`, an instance of the own data centre goes before a parent in another one.
    pub(crate) fn candidates(&self, now: Instant, tries_local: bool) -> Vec<SocketAddr> {
        let named = self.named.iter().map(|endpoint| endpoint.address);
        let unnamed = self.seeds.iter().copied();
        let unnamed = unnamed.filter(|seed| self.named.iter().all(|known| known.address != *seed));
        let mut all: Vec<SocketAddr> = named.chain(unnamed).collect();
        all.shuffle(&mut rand::rng());
        let moves = tries_local && self.parent.is_some_and(|parent| !self.is_local(parent));
        all.sort_by_key(|address| match self.avoided.get(address) {
            _ if self.parent == Some(*address) => (1, now),
            Some(avoidance) if avoidance.silences > 0 && now < avoidance.until => {
                (5, avoidance.until)
            }
            Some(avoidance) if now < avoidance.until => (4, avoidance.until),
            _ if self.is_local(*address) && moves => (0, now),
            _ if self.is_local(*address) => (2, now),
            _ => (3, now),
        });
        all
    }

    /// Makes `control` the parent, which names the control instances in `named`.
    pub(crate) fn keep(&mut self, control: SocketAddr, named: &[ControlEndpoint]) {
        if self.parent != Some(control) {
            info!("control_chosen", kv: { control = control.to_string(), known = named.len() });
        }
        self.parent = Some(control);
        self.named = named.to_vec();
        self.avoided.remove(&control);
        let known = |address: &SocketAddr| {
            self.seeds.contains(address) || named.iter().any(|known| known.address == *address)
        };
        self.avoided.retain(|address, _| known(address));
    }

    /// Records that `control` couldn't prove its configuration.
    pub(crate) fn record_unproven(&mut self, now: Instant, control: SocketAddr) {
        self.parent.take_if(|parent| *parent == control);
        self.avoided.insert(control, Avoidance { silences: 0, until: now + AVOID_TIME });
    }

    /// Records that `control` didn't reply.
    pub(crate) fn record_silence(&mut self, now: Instant, control: SocketAddr) {
        self.parent.take_if(|parent| *parent == control);
        let before = self.avoided.get(&control).map_or(0, |avoidance| avoidance.silences);
        let length = AVOID_TIME.saturating_mul(1 << before.min(8)).min(MAX_AVOID_TIME);
        let silences = before.saturating_add(1);
        self.avoided.insert(control, Avoidance { silences, until: now + length });
    }

    fn is_local(&self, address: SocketAddr) -> bool {
        let is_same =
            |known: &ControlEndpoint| known.address == address && known.centre == self.centre;
        self.named.iter().any(is_same)
    }
}
