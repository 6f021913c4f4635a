//! Where models are loaded, as reported by the owners.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;
use wheel_manifest::{ActiveManifest, LinkSpec, UpstreamKind, UpstreamSpec};
use wheel_policy::{EngineRouter, OutlierSettings, ReplicaView, RouteDecision, RouteQuery};
use wheel_types::{
    CentreName, EngineReport, InstanceName, ModelName, ModelPhase, RequestRank, ServiceName,
    UpstreamName,
};

use crate::{DrainNotice, DrainingReplicas, OwnerRoute, ProcessClock};

/// Time without a report from its owner after which an upstream gets no new work.
const REPORT_LIFE: Duration = Duration::from_secs(60);

/// Limit of reports kept until the manifest lists their upstream; the owners repeat those beyond
/// it.
const MAX_PENDING_REPORTS: usize = 4_096;

/// Prefix of the routing names of plain services; no model has it, because the manifest check
/// rejects slashes in names.
const SERVICE_PREFIX: &str = "service/";

/// The reports of all owners, indexed for routing.
///
/// Its only lock is never held while another is taken. Its size is bounded by the upstreams and
/// models of the manifest.
#[derive(Debug)]
pub struct ReplicaDirectory {
    clock: ProcessClock,
    centre: CentreName,
    state: Mutex<DirectoryState>,
    changed: Notify,
}

#[derive(Debug)]
struct DirectoryState {
    router: EngineRouter,
    reports: HashMap<UpstreamName, StoredReport>,
    upstreams: HashMap<UpstreamName, UpstreamSpec>,
    links: HashMap<CentreName, LinkSpec>,
    loaded_at: HashMap<ModelName, Vec<UpstreamName>>,
    draining: DrainingReplicas,
    /// Owners that couldn't be reached since their last report.
    unreachable_owners: HashSet<InstanceName>,
    /// Reports of upstreams that the active manifest doesn't list yet.
    pending: HashMap<UpstreamName, EngineReport>,
}

#[derive(Debug)]
struct StoredReport {
    report: EngineReport,
    received: Instant,
}

impl ReplicaDirectory {
    /// Creates an empty directory for an instance in `centre`.
    pub fn open(clock: ProcessClock, centre: CentreName, seed: u64) -> Arc<Self> {
        let state = DirectoryState {
            router: EngineRouter::open(OutlierSettings::default(), seed),
            reports: HashMap::new(),
            upstreams: HashMap::new(),
            links: HashMap::new(),
            loaded_at: HashMap::new(),
            draining: DrainingReplicas::default(),
            unreachable_owners: HashSet::new(),
            pending: HashMap::new(),
        };
        Arc::new(Self { clock, centre, state: Mutex::new(state), changed: Notify::new() })
    }

    /// The routing name of a plain service's upstreams.
    pub fn service_route(service: &ServiceName) -> ModelName {
        ModelName::new(format!("{SERVICE_PREFIX}{service}"))
    }

    /// Applies a manifest: drops upstreams that it doesn't list, and adds its plain services.
    pub fn apply_manifest(&self, manifest: &ActiveManifest) {
        let mut state = self.state.lock();
        state.links = links_from(&self.centre, &manifest.manifest.links);
        state.upstreams = manifest
            .manifest
            .upstreams
            .iter()
            .map(|upstream| (upstream.name.clone(), upstream.clone()))
            .collect();
        let gone: Vec<UpstreamName> = state
            .reports
            .keys()
            .filter(|name| manifest.index.upstream(name.as_str()).is_none())
            .cloned()
            .collect();
        gone.iter().for_each(|name| state.remove_upstream(name));
        state.update_services(&self.centre, manifest);
        let models: Vec<ModelName> = state.loaded_at.keys().cloned().collect();
        models.iter().for_each(|model| state.update_model(&self.centre, model));
        let pending = std::mem::take(&mut state.pending);
        drop(state);
        pending.into_values().for_each(|report| self.record_report(report));
        self.changed.notify_waiters();
    }

    /// Records a report. One whose sequence isn't newer than its owner's last is ignored.
    pub fn record_report(&self, report: EngineReport) {
        let mut state = self.state.lock();
        let Some(spec) = state.upstreams.get(&report.upstream) else {
            if state.pending.len() < MAX_PENDING_REPORTS {
                state.pending.insert(report.upstream.clone(), report);
            }
            return;
        };
        let is_service = spec.kind == UpstreamKind::Service;
        let stale = state.reports.get(&report.upstream).is_some_and(|stored| {
            stored.report.owner == report.owner && stored.report.sequence >= report.sequence
        });
        if stale {
            return;
        }
        let returned = state.unreachable_owners.remove(&report.owner);
        state.router.observe_load(self.clock.now(), &report.upstream, report.load);
        let affected = state.replace_report(report);
        match is_service {
            true => state.refresh_services(&self.centre),
            false => affected.iter().for_each(|model| state.update_model(&self.centre, model)),
        }
        if returned {
            state.update_all(&self.centre);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Stops or resumes routing to one replica, on notice of the lease holder.
    pub fn apply_drain(&self, notice: &DrainNotice) {
        let mut state = self.state.lock();
        if !state.draining.apply(notice) {
            return;
        }
        state.update_model(&self.centre, &notice.model);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops an owner's report of an upstream that it doesn't own any more.
    pub fn forget_report(&self, upstream: &UpstreamName, owner: &InstanceName) {
        let mut state = self.state.lock();
        if state.reports.get(upstream).is_some_and(|stored| &stored.report.owner == owner) {
            let affected = state.remove_report(upstream);
            affected.iter().for_each(|model| state.update_model(&self.centre, model));
            state.refresh_services(&self.centre);
        }
    }

    /// Stops routing to the upstreams of an owner that can't be reached, until it or another owner
    /// reports.
    pub fn mark_owner_unreachable(&self, owner: &InstanceName) {
        let mut state = self.state.lock();
        if state.unreachable_owners.insert(owner.clone()) {
            state.update_all(&self.centre);
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// The owners of this data centre's upstreams that have reported.
    pub fn local_owners(&self) -> Vec<InstanceName> {
        let state = self.state.lock();
        let local = state.reports.values().filter(|stored| stored.report.centre == self.centre);
        let mut owners: Vec<InstanceName> =
            local.map(|stored| stored.report.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Completes once `owner` is marked as unreachable.
    pub async fn owner_unreachable(&self, owner: &InstanceName) {
        loop {
            let changed = self.changed.notified();
            if self.state.lock().unreachable_owners.contains(owner) {
                return;
            }
            changed.await;
        }
    }

    /// Whether a replica of the model is loaded whose owner can't be reached.
    pub fn waits_for_owner(&self, model: &ModelName) -> bool {
        let state = self.state.lock();
        let upstreams = state.loaded_at.get(model).into_iter().flatten();
        let mut stored = upstreams.filter_map(|upstream| state.reports.get(upstream));
        stored.any(|stored| {
            stored.report.accepts_work() && state.unreachable_owners.contains(&stored.report.owner)
        })
    }

    /// Marks an upstream as refusing new work until its owner reports again.
    pub fn mark_refusing(&self, upstream: &UpstreamName) {
        let mut state = self.state.lock();
        let Some(stored) = state.reports.get(upstream) else { return };
        let report = EngineReport { leaving: true, ..stored.report.clone() };
        let affected = state.replace_report(report);
        affected.iter().for_each(|model| state.update_model(&self.centre, model));
    }

    /// Stops routing to upstreams whose last report is too old, and ends expired drains.
    pub fn expire_reports(&self) {
        let mut state = self.state.lock();
        let silent: Vec<UpstreamName> = state
            .reports
            .iter()
            .filter(|(_, stored)| stored.received.elapsed() > REPORT_LIFE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            let affected = state.remove_report(&name);
            affected.iter().for_each(|model| state.update_model(&self.centre, model));
        }
        let resumed = state.draining.expire();
        resumed.iter().for_each(|model| state.update_model(&self.centre, model));
        drop(state);
        if !resumed.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Chooses an upstream. One that lacks the requested adapter is skipped; if all lack it, the
    /// result is [`RouteDecision::Cold`], as for a model that isn't loaded.
    pub fn choose(&self, query: &RouteQuery) -> RouteDecision {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let Some(adapter) = &query.adapter else { return state.router.choose(now, query) };
        let replicas = state.router.replicas(&query.model);
        let has_adapter = |replica: &&ReplicaView| replica.adapters.contains(adapter);
        let any = replicas.iter().filter(has_adapter).any(|replica| replica.accepts_work);
        let lacking = replicas.iter().filter(|replica| !has_adapter(replica));
        let lacking: Vec<UpstreamName> = lacking.map(|replica| replica.upstream.clone()).collect();
        let mut narrowed = query.clone();
        narrowed.tried.extend(lacking);
        match any {
            true => state.router.choose(now, &narrowed),
            false => RouteDecision::Cold,
        }
    }

    /// The route to the owner of an upstream.
    pub fn owner_of(&self, upstream: &UpstreamName) -> Option<OwnerRoute> {
        let state = self.state.lock();
        let report = &state.reports.get(upstream)?.report;
        Some(OwnerRoute {
            upstream: upstream.clone(),
            owner: report.owner.clone(),
            relay: report.relay,
        })
    }

    /// Counts a request that was sent.
    pub fn record_sent(&self, upstream: &UpstreamName, rank: RequestRank, prefix: Option<u64>) {
        let mut state = self.state.lock();
        state.router.record_sent(self.clock.now(), upstream, prefix);
        state.router.record_rank(upstream, rank, true);
    }

    /// Counts a request that ended.
    pub fn record_end(
        &self,
        upstream: &UpstreamName,
        rank: RequestRank,
        span: Duration,
        succeeded: bool,
    ) {
        let mut state = self.state.lock();
        state.router.record_end(self.clock.now(), upstream, span, succeeded);
        state.router.record_rank(upstream, rank, false);
    }

    /// Completes at the next change. Create it before checking a condition, so that no change is
    /// missed.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// All stored reports, with the times at which they were received.
    pub fn received_reports(&self) -> Vec<(EngineReport, Instant)> {
        let state = self.state.lock();
        state.reports.values().map(|stored| (stored.report.clone(), stored.received)).collect()
    }

    /// All stored reports sorted by upstream, for the `status` command.
    pub fn reports(&self) -> Vec<EngineReport> {
        let state = self.state.lock();
        let mut reports: Vec<EngineReport> =
            state.reports.values().map(|stored| stored.report.clone()).collect();
        reports.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        reports
    }
}

impl DirectoryState {
    /// Replaces a report; returns the models whose replicas may have changed.
    fn replace_report(&mut self, report: EngineReport) -> Vec<ModelName> {
        let mut affected = self.remove_report(&report.upstream);
        // A replica that is gone has drained; a later one isn't draining.
        self.draining.retain_models(&report.upstream, |model| report.loaded(model).is_some());
        for state in report.loaded_models() {
            let upstreams = self.loaded_at.entry(state.model.clone()).or_default();
            upstreams.push(report.upstream.clone());
            affected.push(state.model.clone());
        }
        let stored = StoredReport { received: Instant::now(), report };
        self.reports.insert(stored.report.upstream.clone(), stored);
        affected.sort();
        affected.dedup();
        affected
    }

    fn remove_report(&mut self, upstream: &UpstreamName) -> Vec<ModelName> {
        let Some(stored) = self.reports.remove(upstream) else { return Vec::new() };
        let models: Vec<ModelName> =
            stored.report.loaded_models().map(|state| state.model.clone()).collect();
        for model in &models {
            if let Some(upstreams) = self.loaded_at.get_mut(model) {
                upstreams.retain(|name| name != upstream);
            }
        }
        self.loaded_at.retain(|_, upstreams| !upstreams.is_empty());
        models
    }

    fn remove_upstream(&mut self, upstream: &UpstreamName) {
        self.remove_report(upstream);
        self.router.remove_upstream(upstream);
    }

    fn update_all(&mut self, centre: &CentreName) {
        let models: Vec<ModelName> = self.loaded_at.keys().cloned().collect();
        models.iter().for_each(|model| self.update_model(centre, model));
        self.refresh_services(centre);
    }

    fn update_model(&mut self, centre: &CentreName, model: &ModelName) {
        let upstreams = self.loaded_at.get(model).cloned().unwrap_or_default();
        let views = upstreams.iter().filter_map(|name| self.replica_view(centre, name, model));
        let views: Vec<ReplicaView> = views.collect();
        self.router.set_replicas(model, views);
    }

    fn replica_view(
        &self,
        centre: &CentreName,
        upstream: &UpstreamName,
        model: &ModelName,
    ) -> Option<ReplicaView> {
        let stored = self.reports.get(upstream)?;
        let loaded = stored.report.loaded(model)?;
        let view = self.plain_view(centre, self.upstreams.get(upstream)?);
        let adapters = loaded
            .adapters
            .iter()
            .filter(|state| state.phase == ModelPhase::Loaded)
            .map(|state| state.adapter.clone())
            .collect();
        // The notices reach only this data centre's instances; the owner's report also reaches
        // other data centres and restarted instances.
        let draining =
            self.draining.contains(upstream, model) || stored.report.draining.contains(model);
        Some(ReplicaView { adapters, accepts_work: view.accepts_work && !draining, ..view })
    }

    fn plain_view(&self, centre: &CentreName, spec: &UpstreamSpec) -> ReplicaView {
        let link = match self.links.get(&spec.data_centre) {
            _ if &spec.data_centre == centre => LinkSpec { delay_ms: 0.0, ..LinkSpec::default() },
            Some(link) => link.clone(),
            None => LinkSpec::default(),
        };
        let stored = self.reports.get(&spec.name);
        ReplicaView {
            upstream: spec.name.clone(),
            centre: spec.data_centre.clone(),
            slots: spec.slots,
            adapters: Vec::new(),
            delay_ms: link.delay_ms,
            price: link.price,
            accepts_work: stored.is_some_and(|stored| {
                stored.report.accepts_work()
                    && !self.unreachable_owners.contains(&stored.report.owner)
            }),
        }
    }

    fn update_services(&mut self, centre: &CentreName, manifest: &ActiveManifest) {
        for service in &manifest.manifest.services {
            if service.path_prefix.is_some() {
                self.update_service(centre, &service.name);
            }
        }
    }

    fn refresh_services(&mut self, centre: &CentreName) {
        let mut services: Vec<ServiceName> =
            self.upstreams.values().flat_map(|spec| spec.services.iter().cloned()).collect();
        services.sort();
        services.dedup();
        services.iter().for_each(|service| self.update_service(centre, service));
    }

    fn update_service(&mut self, centre: &CentreName, service: &ServiceName) {
        let views = self
            .upstreams
            .values()
            .filter(|spec| spec.kind == UpstreamKind::Service && spec.services.contains(service))
            .map(|spec| self.plain_view(centre, spec))
            .collect();
        self.router.set_replicas(&ReplicaDirectory::service_route(service), views);
    }
}

fn links_from(centre: &CentreName, links: &[LinkSpec]) -> HashMap<CentreName, LinkSpec> {
    let other_end = |link: &LinkSpec| match &link.between {
        [near, far] if near == centre => Some(far.clone()),
        [far, near] if near == centre => Some(far.clone()),
        _ => None,
    };
    links.iter().filter_map(|link| Some((other_end(link)?, link.clone()))).collect()
}
