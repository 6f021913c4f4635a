//! Where models are loaded, as the owners report it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::Notify;
use wheel_manifest::{ActiveManifest, LinkSpec, UpstreamKind, UpstreamSpec};
use wheel_policy::{EngineRouter, OutlierSettings, ReplicaView, RouteAnswer, RouteQuery};
use wheel_types::{
    CentreName, EngineReport, InstanceName, ModelName, ModelPhase, RequestRank, ServiceName,
    UpstreamName,
};

use crate::{DrainMarks, DrainNotice, OwnerRoute, ProcessClock};

/// Time after which an upstream whose owner is silent gets no new work.
const REPORT_LIFE: Duration = Duration::from_secs(60);

/// Reports that are kept for a text to come; the owners repeat those beyond it.
const MAX_EARLY: usize = 4_096;

/// Prefix of the routing names of plain services; no model may have it, for the check of the text
/// refuses slashes in names.
const SERVICE_PREFIX: &str = "service/";

/// The reports of all owners, arranged for routing.
///
/// Its one lock is never held while another is taken. Its size is bounded by the upstreams and
/// models of the text.
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
    reports: HashMap<UpstreamName, HeldReport>,
    upstreams: HashMap<UpstreamName, UpstreamSpec>,
    links: HashMap<CentreName, LinkSpec>,
    loaded_at: HashMap<ModelName, Vec<UpstreamName>>,
    draining: DrainMarks,
    /// Owners that couldn't be reached since their last report.
    gone_owners: HashSet<InstanceName>,
    /// Reports of upstreams that the text held here doesn't have yet.
    early: HashMap<UpstreamName, EngineReport>,
}

#[derive(Debug)]
struct HeldReport {
    report: EngineReport,
    received: Instant,
}

impl ReplicaDirectory {
    /// Makes an empty directory for an instance in `centre`.
    pub fn open(clock: ProcessClock, centre: CentreName, seed: u64) -> Arc<Self> {
        let state = DirectoryState {
            router: EngineRouter::open(OutlierSettings::default(), seed),
            reports: HashMap::new(),
            upstreams: HashMap::new(),
            links: HashMap::new(),
            loaded_at: HashMap::new(),
            draining: DrainMarks::default(),
            gone_owners: HashSet::new(),
            early: HashMap::new(),
        };
        Arc::new(Self { clock, centre, state: Mutex::new(state), changed: Notify::new() })
    }

    /// The name under which a plain service's upstreams are routed to.
    pub fn service_route(service: &ServiceName) -> ModelName {
        ModelName::new(format!("{SERVICE_PREFIX}{service}"))
    }

    /// Takes over a text: forgets upstreams that it doesn't have, and knows its plain services.
    pub fn follow_text(&self, text: &ActiveManifest) {
        let mut state = self.state.lock();
        state.links = links_from(&self.centre, &text.manifest.links);
        state.upstreams = text
            .manifest
            .upstreams
            .iter()
            .map(|upstream| (upstream.name.clone(), upstream.clone()))
            .collect();
        let gone: Vec<UpstreamName> = state
            .reports
            .keys()
            .filter(|name| text.index.upstream(name.as_str()).is_none())
            .cloned()
            .collect();
        gone.iter().for_each(|name| state.forget(name));
        state.place_services(&self.centre, text);
        let models: Vec<ModelName> = state.loaded_at.keys().cloned().collect();
        models.iter().for_each(|model| state.place_model(&self.centre, model));
        let early = std::mem::take(&mut state.early);
        drop(state);
        early.into_values().for_each(|report| self.note_report(report));
        self.changed.notify_waiters();
    }

    /// Takes over a report. One from an incarnation's past is ignored.
    pub fn note_report(&self, report: EngineReport) {
        let mut state = self.state.lock();
        let Some(spec) = state.upstreams.get(&report.upstream) else {
            if state.early.len() < MAX_EARLY {
                state.early.insert(report.upstream.clone(), report);
            }
            return;
        };
        let is_service = spec.kind == UpstreamKind::Service;
        let stale = state.reports.get(&report.upstream).is_some_and(|held| {
            held.report.owner == report.owner && held.report.sequence >= report.sequence
        });
        if stale {
            return;
        }
        let returned = state.gone_owners.remove(&report.owner);
        state.router.observe_load(self.clock.now(), &report.upstream, report.load);
        let affected = state.replace_report(report);
        match is_service {
            true => state.refresh_services(&self.centre),
            false => affected.iter().for_each(|model| state.place_model(&self.centre, model)),
        }
        if returned {
            state.place_all(&self.centre);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Stops routing to one replica, or starts again, as the lease holder says.
    pub fn note_drain(&self, notice: &DrainNotice) {
        let mut state = self.state.lock();
        if !state.draining.note(notice) {
            return;
        }
        state.place_model(&self.centre, &notice.model);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Forgets an owner's report of an upstream that it doesn't own any more.
    pub fn forget_report(&self, upstream: &UpstreamName, owner: &InstanceName) {
        let mut state = self.state.lock();
        if state.reports.get(upstream).is_some_and(|held| &held.report.owner == owner) {
            let affected = state.remove_report(upstream);
            affected.iter().for_each(|model| state.place_model(&self.centre, model));
            state.refresh_services(&self.centre);
        }
    }

    /// Stops routing to the upstreams of an owner that can't be reached, until it or another owner
    /// reports.
    pub fn note_owner_gone(&self, owner: &InstanceName) {
        let mut state = self.state.lock();
        if state.gone_owners.insert(owner.clone()) {
            state.place_all(&self.centre);
            drop(state);
            self.changed.notify_waiters();
        }
    }

    /// The owners of this data centre's upstreams, as far as they have reported.
    pub fn near_owners(&self) -> Vec<InstanceName> {
        let state = self.state.lock();
        let near = state.reports.values().filter(|held| held.report.centre == self.centre);
        let mut owners: Vec<InstanceName> = near.map(|held| held.report.owner.clone()).collect();
        owners.sort();
        owners.dedup();
        owners
    }

    /// Completes once `owner` can't be reached.
    pub async fn owner_gone(&self, owner: &InstanceName) {
        loop {
            let changed = self.changed.notified();
            if self.state.lock().gone_owners.contains(owner) {
                return;
            }
            changed.await;
        }
    }

    /// Whether a replica of the model is loaded, but its owner can't be reached.
    pub fn waits_for_owner(&self, model: &ModelName) -> bool {
        let state = self.state.lock();
        let upstreams = state.loaded_at.get(model).into_iter().flatten();
        let mut held = upstreams.filter_map(|upstream| state.reports.get(upstream));
        held.any(|held| {
            held.report.accepts_work() && state.gone_owners.contains(&held.report.owner)
        })
    }

    /// Marks an upstream as refusing new work until its owner reports again.
    pub fn note_refusing(&self, upstream: &UpstreamName) {
        let mut state = self.state.lock();
        let Some(held) = state.reports.get(upstream) else { return };
        let report = EngineReport { leaving: true, ..held.report.clone() };
        let affected = state.replace_report(report);
        affected.iter().for_each(|model| state.place_model(&self.centre, model));
    }

    /// Stops routing to upstreams whose owners have been silent for too long.
    pub fn expire_reports(&self) {
        let mut state = self.state.lock();
        let silent: Vec<UpstreamName> = state
            .reports
            .iter()
            .filter(|(_, held)| held.received.elapsed() > REPORT_LIFE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            let affected = state.remove_report(&name);
            affected.iter().for_each(|model| state.place_model(&self.centre, model));
        }
        let resumed = state.draining.expire();
        resumed.iter().for_each(|model| state.place_model(&self.centre, model));
        drop(state);
        if !resumed.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Chooses an upstream. One that lacks the adapter can't answer: where all do, the answer is
    /// [`RouteAnswer::Cold`], as for a model that isn't loaded.
    pub fn choose(&self, query: &RouteQuery) -> RouteAnswer {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let Some(adapter) = &query.adapter else { return state.router.choose(now, query) };
        let replicas = state.router.replicas(&query.model);
        let has = |replica: &&ReplicaView| replica.adapters.contains(adapter);
        let any = replicas.iter().filter(has).any(|replica| replica.takes_work);
        let lacking = replicas.iter().filter(|replica| !has(replica));
        let lacking: Vec<UpstreamName> = lacking.map(|replica| replica.upstream.clone()).collect();
        let mut narrowed = query.clone();
        narrowed.tried.extend(lacking);
        match any {
            true => state.router.choose(now, &narrowed),
            false => RouteAnswer::Cold,
        }
    }

    /// Where the owner of an upstream takes requests.
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

    /// Completes at the next change. Create it before looking, so that no change is missed.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// All reports that are held, with the times at which they came.
    pub fn held_reports(&self) -> Vec<(EngineReport, Instant)> {
        let state = self.state.lock();
        state.reports.values().map(|held| (held.report.clone(), held.received)).collect()
    }

    /// All reports that are held, for `status`.
    pub fn reports(&self) -> Vec<EngineReport> {
        let state = self.state.lock();
        let mut reports: Vec<EngineReport> =
            state.reports.values().map(|held| held.report.clone()).collect();
        reports.sort_by(|left, right| left.upstream.cmp(&right.upstream));
        reports
    }
}

impl DirectoryState {
    /// Replaces a report; returns the models whose replicas may have changed.
    fn replace_report(&mut self, report: EngineReport) -> Vec<ModelName> {
        let mut affected = self.remove_report(&report.upstream);
        // A replica that is gone has drained; the next one there starts fresh.
        self.draining.retain_models(&report.upstream, |model| report.loaded(model).is_some());
        for state in report.loaded_models() {
            let upstreams = self.loaded_at.entry(state.model.clone()).or_default();
            upstreams.push(report.upstream.clone());
            affected.push(state.model.clone());
        }
        let held = HeldReport { received: Instant::now(), report };
        self.reports.insert(held.report.upstream.clone(), held);
        affected.sort();
        affected.dedup();
        affected
    }

    fn remove_report(&mut self, upstream: &UpstreamName) -> Vec<ModelName> {
        let Some(held) = self.reports.remove(upstream) else { return Vec::new() };
        let models: Vec<ModelName> =
            held.report.loaded_models().map(|state| state.model.clone()).collect();
        for model in &models {
            if let Some(upstreams) = self.loaded_at.get_mut(model) {
                upstreams.retain(|name| name != upstream);
            }
        }
        self.loaded_at.retain(|_, upstreams| !upstreams.is_empty());
        models
    }

    fn forget(&mut self, upstream: &UpstreamName) {
        self.remove_report(upstream);
        self.router.forget_upstream(upstream);
    }

    fn place_all(&mut self, centre: &CentreName) {
        let models: Vec<ModelName> = self.loaded_at.keys().cloned().collect();
        models.iter().for_each(|model| self.place_model(centre, model));
        self.refresh_services(centre);
    }

    fn place_model(&mut self, centre: &CentreName, model: &ModelName) {
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
        let held = self.reports.get(upstream)?;
        let loaded = held.report.loaded(model)?;
        let view = self.plain_view(centre, self.upstreams.get(upstream)?);
        let adapters = loaded
            .adapters
            .iter()
            .filter(|state| state.phase == ModelPhase::Loaded)
            .map(|state| state.adapter.clone())
            .collect();
        // The owner's word reaches other data centres and restarted instances.
        let draining =
            self.draining.contains(upstream, model) || held.report.draining.contains(model);
        Some(ReplicaView { adapters, takes_work: view.takes_work && !draining, ..view })
    }

    fn plain_view(&self, centre: &CentreName, spec: &UpstreamSpec) -> ReplicaView {
        let link = match self.links.get(&spec.data_centre) {
            _ if &spec.data_centre == centre => LinkSpec { delay_ms: 0.0, ..LinkSpec::default() },
            Some(link) => link.clone(),
            None => LinkSpec::default(),
        };
        let held = self.reports.get(&spec.name);
        ReplicaView {
            upstream: spec.name.clone(),
            centre: spec.data_centre.clone(),
            slots: spec.slots,
            adapters: Vec::new(),
            delay_ms: link.delay_ms,
            price: link.price,
            takes_work: held.is_some_and(|held| {
                held.report.accepts_work() && !self.gone_owners.contains(&held.report.owner)
            }),
        }
    }

    fn place_services(&mut self, centre: &CentreName, text: &ActiveManifest) {
        for service in &text.manifest.services {
            if service.path_prefix.is_some() {
                self.place_service(centre, &service.name);
            }
        }
    }

    fn refresh_services(&mut self, centre: &CentreName) {
        let mut services: Vec<ServiceName> =
            self.upstreams.values().flat_map(|spec| spec.services.iter().cloned()).collect();
        services.sort();
        services.dedup();
        services.iter().for_each(|service| self.place_service(centre, service));
    }

    fn place_service(&mut self, centre: &CentreName, service: &ServiceName) {
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
