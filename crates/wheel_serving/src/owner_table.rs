//! The upstreams that this instance owns.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::RwLock;
use spdlog::info;
use wheel_manifest::{ActiveManifest, UpstreamKind};
use wheel_types::{InstanceName, UpstreamName};
use wheel_upstream::{ConnectionLimits, EngineSettings};

use crate::engine_watch::EngineWatch;
use crate::{LeavingSet, OwnedUpstream, ProcessClock, ReportSink};

/// Connections to an upstream in addition to one per slot.
const SPARE_CONNECTIONS: usize = 8;

/// Settings of an owner.
#[derive(Clone, Debug)]
pub struct OwnerSettings {
    /// This instance.
    pub instance: InstanceName,
    /// The address where it accepts relayed requests.
    pub relay: SocketAddr,
    /// Time after sending from which an order can't reach its engine any more.
    pub order_life: Duration,
}

/// The owned upstreams; takes upstreams over and gives them up as instances join and leave.
pub struct OwnerTable {
    settings: OwnerSettings,
    clock: ProcessClock,
    sink: Arc<dyn ReportSink>,
    leaving: Arc<LeavingSet>,
    owned: RwLock<HashMap<UpstreamName, Arc<OwnedUpstream>>>,
}

impl OwnerTable {
    /// Creates an empty table.
    pub fn open(
        settings: OwnerSettings,
        clock: ProcessClock,
        sink: Arc<dyn ReportSink>,
    ) -> Arc<Self> {
        let leaving = Arc::default();
        Arc::new(Self { settings, clock, sink, leaving, owned: RwLock::default() })
    }

    /// Upstreams that the platform's list shows as leaving.
    pub fn leaving(&self) -> &LeavingSet {
        &self.leaving
    }

    /// The upstream, if it is owned here.
    pub fn get(&self, upstream: &UpstreamName) -> Option<Arc<OwnedUpstream>> {
        self.owned.read().get(upstream).cloned()
    }

    /// All owned upstreams.
    pub fn all(&self) -> Vec<Arc<OwnedUpstream>> {
        self.owned.read().values().cloned().collect()
    }

    /// Owns exactly the upstreams of `manifest` for which `is_owner` is true. Requests that wait
    /// for an upstream that is given up are refused as not run, and the ingress sends them to its
    /// new owner; running ones finish here. Returns the upstreams that were given up.
    pub fn apply_manifest(
        &self,
        manifest: &ActiveManifest,
        is_owner: impl Fn(&UpstreamName) -> bool,
    ) -> Vec<UpstreamName> {
        let mut given_up = Vec::new();
        {
            let mut owned = self.owned.write();
            owned.retain(|name, upstream| {
                let keeps = upstream.matches_manifest(manifest) && is_owner(name);
                if !keeps {
                    given_up.push(Arc::clone(upstream));
                }
                keeps
            });
            for spec in &manifest.manifest.upstreams {
                if is_owner(&spec.name) && !owned.contains_key(&spec.name) {
                    let upstream = self.take_over(manifest, spec);
                    owned.insert(spec.name.clone(), upstream);
                }
            }
        }
        for upstream in &given_up {
            info!("upstream_given_up", kv: { upstream = upstream.spec().name.as_str() });
            upstream.disowned.cancel();
            upstream.queue().refuse_waiting("the upstream has another owner now");
        }
        given_up.iter().map(|upstream| upstream.spec().name.clone()).collect()
    }

    /// Reports all owned upstreams again after the set of live instances changed, because another
    /// instance may have considered itself the owner for a short time.
    pub fn repeat_reports(&self) {
        self.owned.read().values().for_each(|upstream| upstream.report_soon());
    }

    /// Gives up all upstreams when the instance drains.
    pub fn give_up_all(&self) {
        let given_up: Vec<_> = self.owned.write().drain().map(|(_, upstream)| upstream).collect();
        for upstream in given_up {
            upstream.disowned.cancel();
            upstream.queue().refuse_waiting("the owner is draining");
        }
    }

    fn take_over(
        &self,
        manifest: &ActiveManifest,
        spec: &wheel_manifest::UpstreamSpec,
    ) -> Arc<OwnedUpstream> {
        info!("upstream_taken_over", kv: { upstream = spec.name.as_str() });
        // One connection per slot, kept open, and a few for reading the state.
        let connections = spec.slots as usize + SPARE_CONNECTIONS;
        let limits = ConnectionLimits {
            max_open: connections,
            max_idle: connections,
            ..ConnectionLimits::default()
        };
        let engine = EngineSettings::new(spec.name.clone(), spec.address)
            .limits(limits)
            .order_life(self.settings.order_life);
        let seed = blake3::hash(spec.name.as_str().as_bytes()).as_bytes()[0];
        let upstream =
            OwnedUpstream::spawn(spec.clone(), self.clock, manifest, engine, u64::from(seed));
        let watch = EngineWatch {
            settings: self.settings.clone(),
            sink: Arc::clone(&self.sink),
            leaving: Arc::clone(&self.leaving),
            polls_engine: spec.kind == UpstreamKind::Engine,
        };
        watch.spawn(&upstream);
        upstream
    }
}
