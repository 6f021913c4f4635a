//! One round of reading, planning and ordering.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jiff::Timestamp;
use metrics::histogram;
use spdlog::{info, warn};
use tokio::time::timeout;
use wheel_lease::{
    EngineEntry, FencingMode, LeaseAuthority, LedgerSettings, OrderLedger, OrderLimits,
    OrderRefusal,
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
use crate::order_sender::{OrderEnd, OrderSender};
use crate::replica_tracks::{ReplicaKey, ReplicaTracks};
use crate::store_pace::{StorePace, StoreShare};
use crate::{DemandTable, DirectorLink, DirectorSettings, HeardReport};

/// Orders whose effect isn't known; further ones wait.
const MAX_OPEN_ORDERS: usize = 1_024;
/// Time after which an engine without orders is read again.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time that an engine gets to tell its state; a silent one mustn't hold up the others.
const READ_LIMIT: Duration = Duration::from_millis(400);
/// Time after which the instances are told again that a replica drains. It is well below the life
/// of such a notice, which ends a drain whose holder is gone.
const NOTICE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which most drains end; a longer one is looked at less often.
const SHORT_DRAIN: Duration = Duration::from_secs(1);

/// Everything that the director remembers between rounds.
pub(crate) struct PlacementRound {
    settings: DirectorSettings,
    sender: OrderSender,
    link: Arc<dyn DirectorLink>,
    clients: EngineClients,
    ledger: OrderLedger,
    planner: Option<PlacementPlanner>,
    tracks: ReplicaTracks,
    pace: StorePace,
    revision: Option<ManifestRevision>,
    /// Engines to read before anything else is planned.
    unread: BTreeSet<UpstreamName>,
    /// The last refusal of each replica's order, so that each is recorded once.
    refusals: HashMap<ReplicaKey, OrderRefusal>,
    last_full_read: Option<MonotonicTime>,
}

impl PlacementRound {
    pub(crate) fn new(
        settings: DirectorSettings,
        sender: OrderSender,
        link: Arc<dyn DirectorLink>,
    ) -> Self {
        let id_prefix = format!("{}-{}", settings.instance, settings.incarnation);
        let ledger = OrderLedger::open(LedgerSettings {
            id_prefix: id_prefix.into(),
            order_life: settings.order_life(),
            max_open_orders: MAX_OPEN_ORDERS,
        });
        Self {
            pace: StorePace::new(settings.now()),
            settings,
            sender,
            link,
            clients: EngineClients::default(),
            ledger,
            planner: None,
            tracks: ReplicaTracks::default(),
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
                    || model.adapters.iter().any(|held| held.phase != ModelPhase::Loaded)
            })
        };
        self.ledger.open_orders().next().is_some()
            || !self.unread.is_empty()
            || self.tracks.drains_since(self.settings.now(), SHORT_DRAIN)
            || self.ledger.accounts().any(|account| account.state.as_ref().is_some_and(loading))
    }

    /// Takes note that another instance holds the lease.
    pub(crate) fn pause(&mut self) {
        self.last_full_read = None;
        self.tracks.clear();
    }

    /// Takes note of what became of an order.
    pub(crate) fn note_end(&mut self, end: &OrderEnd) {
        self.ledger.resolve(self.settings.now(), &end.order_id, end.result);
        self.unread.insert(end.upstream.clone());
    }

    /// Reads what must be read, plans, and sends orders. Returns a fencing number that the lease
    /// must exceed before an engine can be ordered.
    pub(crate) async fn run(
        &mut self,
        text: &ActiveManifest,
        authority: &LeaseAuthority,
        demand: &DemandTable,
    ) -> Option<FencingNumber> {
        self.follow_text(text);
        demand.follow_text(text);
        self.ledger.begin(authority);
        let learned = self.read_engines(text).await;
        self.fence_engines(text, authority);
        let reports: HashMap<UpstreamName, HeardReport> = self
            .link
            .reports()
            .into_iter()
            .map(|heard| (heard.report.upstream.clone(), heard))
            .collect();
        let steps = self.plan(text, demand, &reports);
        for step in steps {
            self.take_step(text, authority, &step);
        }
        self.repeat_notices();
        learned
    }

    fn follow_text(&mut self, text: &ActiveManifest) {
        if self.revision == Some(text.revision) {
            return;
        }
        self.revision = Some(text.revision);
        self.clients.follow(&self.settings, text);
        let entries: Vec<EngineEntry> = engines_of(&self.settings.centre, text)
            .map(|spec| EngineEntry {
                upstream: spec.name.clone(),
                memory_mib: spec.memory_mib,
                fencing: match spec.enforces_fencing {
                    true => FencingMode::Enforces,
                    false => FencingMode::Ignores,
                },
            })
            .collect();
        self.ledger.set_engines(self.settings.now(), &entries);
        let (centre, centres) = (&self.settings.centre, &text.manifest.centres);
        let longest = text.manifest.models.iter().map(|model| model.load_ms).max().unwrap_or(0);
        let longest = Duration::from_millis(longest);
        self.pace.set_share(StoreShare::of(centre, centres, &text.manifest.store, longest));
        self.refusals.clear();
        match &mut self.planner {
            Some(planner) => planner.set_text(&text.manifest),
            None => {
                let settings = self.settings.placement.clone();
                self.planner = Some(PlacementPlanner::open(settings, &text.manifest));
            }
        }
        self.last_full_read = None;
    }

    /// Reads engines with open orders each time and all others now and then.
    async fn read_engines(&mut self, text: &ActiveManifest) -> Option<FencingNumber> {
        let now = self.settings.now();
        let full = self.last_full_read.is_none_or(|last| now.since(last) >= READ_INTERVAL);
        let mut due: BTreeSet<UpstreamName> = std::mem::take(&mut self.unread);
        due.extend(self.ledger.open_orders().map(|order| order.upstream.clone()));
        due.extend(self.unsettled_engines());
        if full {
            self.last_full_read = Some(now);
            let engines = engines_of(&self.settings.centre, text);
            due.extend(engines.map(|spec| spec.name.clone()));
        }
        let readings = due.iter().filter_map(|name| {
            let client = self.clients.get(name)?;
            let asked = self.settings.now();
            Some(async move { (name, asked, timeout(READ_LIMIT, client.state()).await) })
        });
        let mut learned = None;
        for (name, asked, reading) in join_all(readings).await {
            match reading {
                Ok(Ok(state)) => learned = learned.max(self.observe(asked, name, &state)),
                Ok(Err(error)) => warn!("engine_not_read", kv: {
                    upstream = name.as_str(),
                    reason:? = error.to_string()
                }),
                Err(_) => warn!("engine_silent", kv: { upstream = name.as_str() }),
            }
        }
        learned
    }

    fn unsettled_engines(&self) -> Vec<UpstreamName> {
        let is_loading = |state: &EngineState| {
            state.models.iter().any(|model| model.phase != ModelPhase::Loaded)
        };
        self.ledger
            .accounts()
            .filter(|account| account.listed)
            .filter(|account| account.state.as_ref().is_some_and(is_loading))
            .map(|account| account.entry.upstream.clone())
            .collect()
    }

    fn observe(
        &mut self,
        asked: MonotonicTime,
        upstream: &UpstreamName,
        state: &EngineState,
    ) -> Option<FencingNumber> {
        self.note_finished_loads(upstream, state);
        self.ledger.observe(asked, upstream, state)
    }

    /// Tells the planner how long loads took, so that a slow store lengthens its expectations.
    fn note_finished_loads(&mut self, upstream: &UpstreamName, state: &EngineState) {
        let now = self.settings.now();
        let Some(planner) = &mut self.planner else { return };
        for held in state.models.iter().filter(|held| held.phase == ModelPhase::Loaded) {
            let key = ReplicaKey { upstream: upstream.clone(), model: held.model.clone() };
            let track = self.tracks.get(&key);
            if let Some(track) = track.filter(|track| track.phase == ModelPhase::Loading) {
                let taken = now.since(track.since);
                planner.observe_load(&held.model, track.source, taken);
                let source = format!("{:?}", track.source).to_lowercase();
                histogram!("wheel_load_seconds", "source" => source).record(taken.as_secs_f64());
                info!("model_loaded", kv: {
                    upstream = upstream.as_str(),
                    model = held.model.as_str(),
                    source:? = track.source,
                    taken_ms = taken.as_millis() as u64
                });
            }
        }
    }

    /// An engine that refuses old numbers is settled at once by an order that changes nothing.
    fn fence_engines(&mut self, text: &ActiveManifest, authority: &LeaseAuthority) {
        let unsettled: Vec<UpstreamName> = self
            .ledger
            .accounts()
            .filter(|account| account.listed && !account.settled && account.fenced.is_none())
            .filter(|account| account.entry.fencing == FencingMode::Enforces)
            .filter(|account| text.index.upstream(account.entry.upstream.as_str()).is_some())
            .map(|account| account.entry.upstream.clone())
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
        text: &ActiveManifest,
        demand: &DemandTable,
        reports: &HashMap<UpstreamName, HeardReport>,
    ) -> Vec<PlacementStep> {
        let now = self.settings.now();
        let centre = &self.settings.centre;
        let (start, placement) = (self.settings.start, &self.settings.placement);
        let builder =
            FleetBuilder { now, centre, text, ledger: &self.ledger, reports, start, placement };
        let mut fleet = builder.build(&mut self.tracks);
        let share = self.pace.share();
        let time_of_day = time_of_day();
        fleet.store_loads = share.loads;
        fleet.store_starts = self.pace.starts(now, time_of_day);
        fleet.adapter_loads = share.adapter_loads;
        let all = || reports.values().map(|heard| &heard.report);
        let own = all().filter(|report| &report.centre == centre);
        let elsewhere = all().filter(|report| &report.centre != centre);
        let view = demand.view(
            now,
            Timestamp::try_from(time_of_day).unwrap_or_default(),
            text,
            own,
            elsewhere,
        );
        self.planner.as_mut().map(|planner| planner.plan(now, &fleet, &view)).unwrap_or_default()
    }

    fn take_step(
        &mut self,
        text: &ActiveManifest,
        authority: &LeaseAuthority,
        step: &PlacementStep,
    ) {
        let now = self.settings.now();
        let key =
            ReplicaKey { upstream: step.upstream.clone(), model: step.action.model().clone() };
        match &step.action {
            PlacementAction::Drain { .. } => {
                self.tracks.set_draining(&key, Some(now));
                self.link.set_draining(&key.upstream, &key.model, true);
                self.record(step, "drains");
            }
            PlacementAction::Resume { .. } => {
                self.tracks.set_draining(&key, None);
                self.link.set_draining(&key.upstream, &key.model, false);
                self.record(step, "serves again");
            }
            action => {
                let limits = self.replica_limits(text, action);
                let order = order_action(action);
                let Some(order) = order else { return };
                match self.ledger.admit(now, authority, &step.upstream, order, limits) {
                    Ok(order) => {
                        self.refusals.remove(&key);
                        self.note_start(now, key, action);
                        self.record(step, "ordered");
                        if let Some(client) = self.clients.get(&step.upstream) {
                            self.sender.send(&step.upstream, client, order);
                        }
                    }
                    Err(refusal) => self.note_refusal(step, key, refusal),
                }
            }
        }
    }

    fn note_start(&mut self, now: MonotonicTime, key: ReplicaKey, action: &PlacementAction) {
        if let PlacementAction::Load { source, .. } = action {
            self.tracks.begin_load(now, key, *source);
            if *source == wheel_policy::CheckpointSource::Store {
                self.pace.take();
            }
        }
    }

    /// A plan made on an old reading is mended by a new one.
    fn note_refusal(&mut self, step: &PlacementStep, key: ReplicaKey, refusal: OrderRefusal) {
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
            self.link.record(subject, decision, refusal.to_string());
        }
    }

    /// Notices are lost, and instances restart.
    fn repeat_notices(&mut self) {
        let grace = self.settings.placement.drain_grace;
        for key in self.tracks.take_due_notices(self.settings.now(), grace, NOTICE_INTERVAL) {
            self.link.set_draining(&key.upstream, &key.model, true);
        }
    }

    /// Replicas of the step's model that the text allows in one data centre, and one more while
    /// the first replica of a new version is loaded beside the old ones.
    fn replica_limits(&self, text: &ActiveManifest, action: &PlacementAction) -> OrderLimits {
        let spec = text.index.model(action.model().as_str());
        let replicas = spec.map_or(0, |spec| spec.max_replicas as usize);
        let rolls = matches!(action, PlacementAction::Load { model, version, .. }
            if self.is_rolling(model, *version));
        OrderLimits { replicas: replicas + usize::from(rolls) }
    }

    /// Whether old versions of a model are there and the wanted one is nowhere.
    fn is_rolling(&self, model: &ModelName, version: u32) -> bool {
        let states = self.ledger.accounts().filter_map(|account| account.state.as_ref());
        let shown = states.flat_map(|state| &state.models).filter(|held| &held.model == model);
        let mut versions = shown.map(|held| held.version).peekable();
        let loads = |action: &OrderAction| matches!(action, OrderAction::LoadModel { model: loaded, .. } if loaded == model);
        let is_ordered = self.ledger.open_orders().any(|order| loads(&order.action));
        versions.peek().is_some() && versions.all(|held| held != version) && !is_ordered
    }

    fn record(&self, step: &PlacementStep, decision: &str) {
        let subject = step.action.model().as_str();
        let decision = format!("{decision} at {}: {:?}", step.upstream, step.action);
        self.link.record(subject, decision, format!("{:?}", step.reason));
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
