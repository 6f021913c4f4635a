//! Merges what is read of the instance list with what is known from earlier reads.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wheel_route::{EngineId, EngineInfo, UpstreamState};
use wheel_types::MonotonicTime;

use crate::{OddEntry, OddKind};

/// Time for which an upstream is kept whose entry can't be read any more: several reads beyond the
/// time for which the list shows one that has crashed.
const HOLD_TIME: Duration = Duration::from_secs(30);
/// Time between two reads after which what was remembered of the first one is out of date.
const PAUSE_LIMIT: Duration = Duration::from_secs(10);

/// All pages of the list, as they were read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListRead {
    /// The entries that describe an upstream.
    pub engines: Vec<EngineInfo>,
    /// The entries that don't.
    pub odd: Vec<OddEntry>,
    /// Whether later pages couldn't be found.
    pub is_cut: bool,
}

/// The upstreams to use, after a read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedList {
    /// One entry for each id, and one service for each address.
    pub engines: Vec<EngineInfo>,
    /// The entries that aren't used.
    pub odd: Vec<OddEntry>,
    /// The upstreams that are kept from now on although their entries can't be read.
    pub kept: Vec<EngineId>,
    /// The upstreams that aren't kept any longer.
    pub dropped: Vec<EngineId>,
}

/// Remembers the upstreams of the last read.
///
/// An upstream whose entry can't be read any more keeps its last known state for 30 s, and as long as
/// the list is cut. Of several entries for an id, that of the latest start counts; of several
/// services at an address, the one that was known there before.
#[derive(Clone, Debug, Default)]
pub struct ListLedger {
    known: Vec<EngineInfo>,
    /// The upstreams whose entries can't be read, and since when.
    held: HashMap<EngineId, MonotonicTime>,
    /// Number of entries in the last read that named neither a readable id nor an address.
    unnamed: usize,
    /// When a read was last merged.
    merged_at: MonotonicTime,
}

impl ListLedger {
    /// Takes over what another source says of the fleet, in place of what was read before.
    pub fn learn(&mut self, now: MonotonicTime, engines: &[EngineInfo]) {
        if now.since(self.merged_at) >= PAUSE_LIMIT {
            *self = Self::default();
        }
        self.known = engines.to_vec();
    }

    /// Merges a read of the list.
    pub fn merge(&mut self, now: MonotonicTime, read: ListRead) -> MergedList {
        let mut merged = MergedList { odd: read.odd, ..MergedList::default() };
        merged.engines = self.one_for_each_id(read.engines, &mut merged.odd);
        merged.engines = self.one_service_for_each_address(merged.engines, &mut merged.odd);
        let is_unnamed = |odd: &&OddEntry| odd.name.is_none() && odd.address.is_none();
        let unnamed = merged.odd.iter().filter(is_unnamed).count();
        let (is_cut, hides_more) = (read.is_cut, unnamed > self.unnamed);
        self.unnamed = unnamed;
        self.merged_at = now;
        let names: HashSet<Arc<str>> =
            merged.odd.iter().filter_map(|odd| odd.name.clone()).collect();
        let nameless = merged.odd.iter().filter(|odd| odd.name.is_none());
        let addresses: HashSet<SocketAddr> = nameless.filter_map(|odd| odd.address).collect();
        let listed_names: HashSet<Arc<str>> =
            merged.engines.iter().map(|info| Arc::clone(&info.id.name)).collect();
        let listed_addresses: HashSet<SocketAddr> =
            merged.engines.iter().map(|info| info.address).collect();
        let mut held = HashMap::new();
        for info in std::mem::take(&mut self.known) {
            let since = self.held.get(&info.id).copied();
            let is_named = names.contains(&info.id.name) || addresses.contains(&info.address);
            let is_replaced =
                listed_names.contains(&info.id.name) || listed_addresses.contains(&info.address);
            match since {
                _ if is_replaced => continue,
                _ if is_cut => held.insert(info.id.clone(), now),
                Some(since) if now.since(since) < HOLD_TIME => held.insert(info.id.clone(), since),
                None if is_named || hides_more => held.insert(info.id.clone(), now),
                Some(_) => {
                    merged.dropped.push(info.id);
                    continue;
                }
                None => continue,
            };
            if since.is_none() {
                merged.kept.push(info.id.clone());
            }
            merged.engines.push(info);
        }
        self.held = held;
        self.known.clone_from(&merged.engines);
        merged
    }

    /// Keeps one entry for each id.
    fn one_for_each_id(
        &self,
        engines: Vec<EngineInfo>,
        odd: &mut Vec<OddEntry>,
    ) -> Vec<EngineInfo> {
        let known: HashSet<_> = self.known.iter().map(identity).collect();
        let is_known = |info: &EngineInfo| known.contains(&identity(info));
        let precedence = |info: &EngineInfo| (info.id.started_unix_ms, is_known(info));
        let mut chosen: Vec<EngineInfo> = Vec::with_capacity(engines.len());
        let mut places: HashMap<Arc<str>, usize> = HashMap::new();
        for (position, info) in engines.into_iter().enumerate() {
            let Some(&place) = places.get(&info.id.name) else {
                places.insert(Arc::clone(&info.id.name), chosen.len());
                chosen.push(info);
                continue;
            };
            let first = &mut chosen[place];
            if identity(first) == identity(&info) && info.state == UpstreamState::Draining {
                first.state = UpstreamState::Draining;
            }
            let unused = match precedence(&info) > precedence(first) {
                true => std::mem::replace(first, info),
                false => info,
            };
            odd.push(second_entry(position, &unused, OddKind::SecondOfId));
        }
        chosen
    }

    /// Keeps the upstreams of one service at each address. Those of the same service may be two
    /// starts of one upstream, the first of which is still listed.
    fn one_service_for_each_address(
        &self,
        engines: Vec<EngineInfo>,
        odd: &mut Vec<OddEntry>,
    ) -> Vec<EngineInfo> {
        let known: HashSet<_> = self.known.iter().map(|info| (&info.id, info.address)).collect();
        let is_known = |info: &EngineInfo| known.contains(&(&info.id, info.address));
        let precedence = |info: &EngineInfo| (is_known(info), info.id.started_unix_ms);
        let mut services: HashMap<SocketAddr, (Arc<str>, (bool, u64))> = HashMap::new();
        for info in &engines {
            let own = (Arc::clone(&info.service), precedence(info));
            let holder = services.entry(info.address).or_insert_with(|| own.clone());
            if own.1 > holder.1 {
                *holder = own;
            }
        }
        let is_holder = |info: &EngineInfo| {
            services.get(&info.address).is_some_and(|(service, _)| *service == info.service)
        };
        let mut chosen = Vec::with_capacity(engines.len());
        for (position, info) in engines.into_iter().enumerate() {
            match is_holder(&info) {
                true => chosen.push(info),
                false => odd.push(second_entry(position, &info, OddKind::SecondOfAddress)),
            }
        }
        chosen
    }
}

fn identity(info: &EngineInfo) -> (&EngineId, &Arc<str>, SocketAddr) {
    (&info.id, &info.service, info.address)
}

fn second_entry(position: usize, info: &EngineInfo, kind: OddKind) -> OddEntry {
    let reason = format!("service {} at {}", info.service, info.address);
    let name = Some(Arc::clone(&info.id.name));
    OddEntry { name, address: Some(info.address), ..OddEntry::new(position, kind, &reason) }
}
