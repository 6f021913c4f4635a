//! One round of reading engines, planning and sending orders.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jiff::Timestamp;
use metrics::histogram;
use spdlog::{info, warn};
use tokio::time::timeout;
use wheel_lease::{
    EngineSpec, FencingMode, LeaseAuthority, LedgerSettings, OrderLedger, OrderLimits, OrderRefusal,
};
use wheel_manifest::ActiveManifest;
use wheel_policy::{PlacementAction, PlacementPlanner, PlacementStep};
use wheel_seams::time_of_day;
use wheel_types::{
    EngineState, FencingNumber, ManifestRevision, ModelName, ModelPhase, MonotonicTime,
    OrderAction, UpstreamName,
};

use crate::engine_clients::{EngineClients, engines_of};
use crate::fleet_builder::FleetBuilder;
use crate::order_sender::{OrderOutcome, OrderSender};
use crate::replica_table::{ReplicaKey, ReplicaTable};
use crate::store_rate_limiter::{StoreRateLimiter, StoreShare};
use crate::{DemandTable, DirectorHost, DirectorSettings, ReceivedReport};

/// Orders whose effect isn't known; further ones wait.
const MAX_OPEN_ORDERS: usize = 1_024;
/// Time after which an engine without orders is read again.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for reading an engine's state, so that a silent one doesn't delay the others.
const READ_LIMIT: Duration = Duration::from_millis(400);
/// Interval at which the instances are notified again that a replica drains. It is well below the
/// lifetime of a notice, whose expiry ends a drain when the holder is gone.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which most drains end; a longer one is checked less often.
const SHORT_DRAIN: Duration = Duration::from_secs(1);

/// The director's state between rounds.
pub(crate) struct PlacementRound {
    settings: DirectorSettings,
    sender: OrderSender,
    host: Arc<dyn DirectorHost>,
    clients: EngineClients,
    ledger: OrderLedger,
    planner: Option<PlacementPlanner>,
    replicas: ReplicaTable,
    store_limiter: StoreRateLimiter,
    revision: Option<ManifestRevision>,
    /// Engines to read before anything else is planned.
    unread: BTreeSet<UpstreamName>,
    /// The last refusal of an order for each replica, so that a repeated one is recorded once.
    refusals: HashMap<ReplicaKey, OrderRefusal>,
    last_full_read: Option<MonotonicTime>,
}

impl PlacementRound {
    pub(crate) fn new(
        settings: DirectorSettings,
        sender: OrderSender,
        host: Arc<dyn DirectorHost>,
    ) -> Self {
        let id_prefix = format!("{}-{}", settings.instance, settings.incarnation);
        let ledger = OrderLedger::open(LedgerSettings {
            id_prefix: id_prefix.into(),
            order_life: settings.order_life(),
            max_open_orders: MAX_OPEN_ORDERS,
        });
        Self {
            store_limiter: StoreRateLimiter::new(settings.now()),
            settings,
            sender,
            host,
            clients: EngineClients::default(),
            ledger,
            planner: None,
            replicas: ReplicaTable::default(),
            revision: None,
            unread: BTreeSet::new(),
            refusals: HashMap::new(),
            last_full_read: None,
        }
    }

    /// Whether orders are open or models are loading.
    pub(crate) fn is_busy(&self) -> bool {
        let loading = |state: &EngineState| {
            state.models.iter().any(|model| {
                model.phase != ModelPhase::Loaded
                    || model.adapters.iter().any(|adapter| adapter.phase != ModelPhase::Loaded)
            })
        };
        self.ledger.open_orders().next().is_some()
            || !self.unread.is_empty()
            || self.replicas.drains_since(self.settings.now(), SHORT_DRAIN)
            || self.ledger.engines().any(|record| record.state.as_ref().is_some_and(loading))
    }

    /// Resets what is invalid while another instance holds the lease.
    pub(crate) fn reset(&mut self) {
        self.last_full_read = None;
        self.replicas.clear();
    }

    /// Records the result of an order.
    pub(crate) fn record_outcome(&mut self, outcome: &OrderOutcome) {
        self.ledger.resolve(self.settings.now(), &outcome.order_id, outcome.result);
        self.unread.insert(outcome.upstream.clone());
    }

    /// Reads the engines that are due, plans, and sends orders. Returns a fencing number that the
    /// lease must exceed before orders can be sent to every engine.
    pub(crate) async fn run(
        &mut self,
        manifest: &ActiveManifest,
        authority: &LeaseAuthority,
        demand: &DemandTable,
    ) -> Option<FencingNumber> {
        self.apply_manifest(manifest);
        demand.apply_manifest(manifest);
        self.ledger.begin(authority);
        let learned = self.read_engines(manifest).await;
        self.fence_engines(manifest, authority);
        let reports: HashMap<UpstreamName, ReceivedReport> = self
            .host
            .reports()
            .into_iter()
            .map(|latest| (latest.report.upstream.clone(), latest))
            .collect();
        let steps = self.plan(manifest, demand, &reports);
        for step in steps {
            self.execute_step(manifest, authority, &step);
        }
        self.repeat_notices();
        learned
    }

    fn apply_manifest(&mut self, manifest: &ActiveManifest) {
        if self.revision == Some(manifest.revision) {
            return;
        }
        self.revision = Some(manifest.revision);
        self.clients.apply_manifest(&self.settings, manifest);
        let specs: Vec<EngineSpec> = engines_of(&self.settings.centre, manifest)
            .map(|spec| EngineSpec {
                upstream: spec.name.clone(),
                memory_mib: spec.memory_mib,
                fencing: match spec.enforces_fencing {
                    true => FencingMode::Enforces,
                    false => FencingMode::Ignores,
                },
            })
            .collect();
        self.ledger.set_engines(self.settings.now(), &specs);
        let (centre, centres) = (&self.settings.centre, &manifest.manifest.centres);
        let longest = manifest.manifest.models.iter().map(|model| model.load_ms).max().unwrap_or(0);
        let longest = Duration::from_millis(longest);
        self.store_limiter.set_share(StoreShare::of(
            centre,
            centres,
            &manifest.manifest.store,
            longest,
        ));
        self.refusals.clear();
        match &mut self.planner {
            Some(planner) => planner.set_manifest(&manifest.manifest),
            None => {
                let settings = self.settings.placement.clone();
                self.planner = Some(PlacementPlanner::open(settings, &manifest.manifest));
            }
        }
        self.last_full_read = None;
    }

    /// Reads engines with open orders each time and all others every [`READ_INTERVAL`].
    async fn read_engines(&mut self, manifest: &ActiveManifest) -> Option<FencingNumber> {
        let now = self.settings.now();
        let full = self.last_full_read.is_none_or(|last| now.since(last) >= READ_INTERVAL);
        let mut due: BTreeSet<UpstreamName> = std::mem::take(&mut self.unread);
        due.extend(self.ledger.open_orders().map(|order| order.upstream.clone()));
        due.extend(self.loading_engines());
        if full {
            self.last_full_read = Some(now);
            let engines = engines_of(&self.settings.centre, manifest);
            due.extend(engines.map(|spec| spec.name.clone()));
        }
        let readings = due.iter().filter_map(|name| {
            let client = self.clients.get(name)?;
            let requested_at = self.settings.now();
            Some(async move { (name, requested_at, timeout(READ_LIMIT, client.state()).await) })
        });
        let mut learned = None;
        for (name, requested_at, reading) in join_all(readings).await {
            match reading {
                Ok(Ok(state)) => learned = learned.max(self.observe(requested_at, name, &state)),
                Ok(Err(error)) => warn!("engine_not_read", kv: {
                    upstream = name.as_str(),
                    reason:? = error.to_string()
                }),
                Err(_) => warn!("engine_silent", kv: { upstream = name.as_str() }),
            }
        }
        learned
    }

    fn loading_engines(&self) -> Vec<UpstreamName> {
        let is_loading = |state: &EngineState| {
            state.models.iter().any(|model| model.phase != ModelPhase::Loaded)
        };
        self.ledger
            .engines()
            .filter(|record| record.listed)
            .filter(|record| record.state.as_ref().is_some_and(is_loading))
            .map(|record| record.spec.upstream.clone())
            .collect()
    }

    fn observe(
        &mut self,
        requested_at: MonotonicTime,
        upstream: &UpstreamName,
        state: &EngineState,
    ) -> Option<FencingNumber> {
        self.record_finished_loads(upstream, state);
        self.ledger.observe(requested_at, upstream, state)
    }

    /// Reports finished loads to the planner, so that it expects longer loads when the store is
    /// slow.
    fn record_finished_loads(&mut self, upstream: &UpstreamName, state: &EngineState) {
        let now = self.settings.now();
        let Some(planner) = &mut self.planner else { return };
        for loaded in state.models.iter().filter(|model| model.phase == ModelPhase::Loaded) {
            let key = ReplicaKey { upstream: upstream.clone(), model: loaded.model.clone() };
            let record = self.replicas.get(&key);
            if let Some(record) = record.filter(|record| record.phase == ModelPhase::Loading) {
                let taken = now.since(record.since);
                planner.observe_load(&loaded.model, record.source, taken);
                let source = format!("{:?}", record.source).to_lowercase();
                histogram!("wheel_load_seconds", "source" => source).record(taken.as_secs_f64());
                info!("model_loaded", kv: {
                    upstream = upstream.as_str(),
                    model = loaded.model.as_str(),
                    source:? = record.source,
                    taken_ms = taken.as_millis() as u64
                });
            }
        }
    }

    /// Sends an order that changes nothing to unsettled engines that enforce fencing numbers, which
    /// settles them at once.
    fn fence_engines(&mut self, manifest: &ActiveManifest, authority: &LeaseAuthority) {
        let unsettled: Vec<UpstreamName> = self
            .ledger
            .engines()
            .filter(|record| record.listed && !record.settled && record.fenced_at.is_none())
            .filter(|record| record.spec.fencing == FencingMode::Enforces)
            .filter(|record| manifest.index.upstream(record.spec.upstream.as_str()).is_some())
            .map(|record| record.spec.upstream.clone())
            .collect();
        for upstream in unsettled {
            let now = self.settings.now();
            let (Some(client), Ok(order)) =
                (self.clients.get(&upstream), self.ledger.fence(now, authority, &upstream))
            else {
                continue;
            };
            self.sender.send(&upstream, client, order);
        }
    }

    fn plan(
        &mut self,
        manifest: &ActiveManifest,
        demand: &DemandTable,
        reports: &HashMap<UpstreamName, ReceivedReport>,
    ) -> Vec<PlacementStep> {
        let now = self.settings.now();
        let centre = &self.settings.centre;
        let (start, placement) = (self.settings.start, &self.settings.placement);
        let builder =
            FleetBuilder { now, centre, manifest, ledger: &self.ledger, reports, start, placement };
        let mut fleet = builder.build(&mut self.replicas);
        let share = self.store_limiter.share();
        let time_of_day = time_of_day();
        fleet.store_loads = share.loads;
        fleet.store_starts = self.store_limiter.available_starts(now, time_of_day);
        fleet.adapter_loads = share.adapter_loads;
        let all = || reports.values().map(|latest| &latest.report);
        let local = all().filter(|report| &report.centre == centre);
        let remote = all().filter(|report| &report.centre != centre);
        let view = demand.view(
            now,
            Timestamp::try_from(time_of_day).unwrap_or_default(),
            manifest,
            local,
            remote,
        );
        self.planner.as_mut().map(|planner| planner.plan(now, &fleet, &view)).unwrap_or_default()
    }

    fn execute_step(
        &mut self,
        manifest: &ActiveManifest,
        authority: &LeaseAuthority,
        step: &PlacementStep,
    ) {
        let now = self.settings.now();
        let key =
            ReplicaKey { upstream: step.upstream.clone(), model: step.action.model().clone() };
        match &step.action {
            PlacementAction::Drain { .. } => {
                self.replicas.set_draining(&key, Some(now));
                self.host.set_draining(&key.upstream, &key.model, true);
                self.record(step, "drains");
            }
            PlacementAction::Resume { .. } => {
                self.replicas.set_draining(&key, None);
                self.host.set_draining(&key.upstream, &key.model, false);
                self.record(step, "serves again");
            }
            action => {
                let limits = self.replica_limits(manifest, action);
                let order = order_action(action);
                let Some(order) = order else { return };
                match self.ledger.admit(now, authority, &step.upstream, order, limits) {
                    Ok(order) => {
                        self.refusals.remove(&key);
                        self.record_start(now, key, action);
                        self.record(step, "ordered");
                        if let Some(client) = self.clients.get(&step.upstream) {
                            self.sender.send(&step.upstream, client, order);
                        }
                    }
                    Err(refusal) => self.record_refusal(step, key, refusal),
                }
            }
        }
    }

    fn record_start(&mut self, now: MonotonicTime, key: ReplicaKey, action: &PlacementAction) {
        if let PlacementAction::Load { source, .. } = action {
            self.replicas.begin_load(now, key, *source);
            if *source == wheel_policy::CheckpointSource::Store {
                self.store_limiter.take();
            }
        }
    }

    /// Records a refusal; if it shows that the plan was based on an outdated state, the engine is
    /// read again.
    fn record_refusal(&mut self, step: &PlacementStep, key: ReplicaKey, refusal: OrderRefusal) {
        let is_stale = matches!(
            refusal,
            OrderRefusal::AlreadyPresent
                | OrderRefusal::NotPresent
                | OrderRefusal::NoMemory { .. }
                | OrderRefusal::NotRead
        );
        if is_stale {
            self.unread.insert(step.upstream.clone());
        }
        if self.refusals.insert(key, refusal) != Some(refusal) {
            let subject = step.action.model().as_str();
            let decision = format!("not ordered at {}: {:?}", step.upstream, step.action);
            self.host.record(subject, decision, refusal.to_string());
        }
    }

    /// Repeats drain notices, because they may be lost and instances may restart.
    fn repeat_notices(&mut self) {
        let grace = self.settings.placement.drain_grace;
        for key in self.replicas.take_due_notices(self.settings.now(), grace, NOTICE_INTERVAL) {
            self.host.set_draining(&key.upstream, &key.model, true);
        }
    }

    /// Replicas of the step's model that the manifest allows in one data centre, plus one while the
    /// first replica of a new version is loaded in addition to the old ones.
    fn replica_limits(&self, manifest: &ActiveManifest, action: &PlacementAction) -> OrderLimits {
        let spec = manifest.index.model(action.model().as_str());
        let replicas = spec.map_or(0, |spec| spec.max_replicas as usize);
        let rolls = matches!(action, PlacementAction::Load { model, version, .. }
            if self.is_rolling(model, *version));
        OrderLimits { replicas: replicas + usize::from(rolls) }
    }

    /// Whether only old versions of a model are present and the wanted one isn't loaded or ordered.
    fn is_rolling(&self, model: &ModelName, version: u32) -> bool {
        let states = self.ledger.engines().filter_map(|record| record.state.as_ref());
        let present = states.flat_map(|state| &state.models).filter(|state| &state.model == model);
        let mut versions = present.map(|state| state.version).peekable();
        let loads = |action: &OrderAction| matches!(action, OrderAction::LoadModel { model: loaded, .. } if loaded == model);
        let is_ordered = self.ledger.open_orders().any(|order| loads(&order.action));
        versions.peek().is_some() && versions.all(|other| other != version) && !is_ordered
    }

    fn record(&self, step: &PlacementStep, decision: &str) {
        let subject = step.action.model().as_str();
        let decision = format!("{decision} at {}: {:?}", step.upstream, step.action);
        self.host.record(subject, decision, format!("{:?}", step.reason));
    }
}

fn order_action(action: &PlacementAction) -> Option<OrderAction> {
    match action.clone() {
        PlacementAction::Load { model, version, memory_mib, .. } => {
            Some(OrderAction::LoadModel { model, version, memory_mib })
        }
        PlacementAction::Unload { model, version } => {
            Some(OrderAction::UnloadModel { model, version })
        }
        PlacementAction::LoadAdapter { model, adapter, memory_mib } => {
            Some(OrderAction::LoadAdapter { model, adapter, memory_mib })
        }
        PlacementAction::UnloadAdapter { model, adapter } => {
            Some(OrderAction::UnloadAdapter { model, adapter })
        }
        PlacementAction::Drain { .. } | PlacementAction::Resume { .. } => None,
    }
}
