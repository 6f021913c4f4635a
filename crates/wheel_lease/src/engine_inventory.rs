//! What one engine holds and may come to hold, from its own reports and the orders sent to it.

use std::sync::Arc;
use std::time::Duration;

use wheel_types::{ModelChange, MonotonicTime};

/// Time after which an order that got no answer can't be executed any more. Engines have executed
/// such orders up to 12 s later; the rest covers the time in transit.
const ORDER_LIFE: Duration = Duration::from_secs(14);

/// Time for which a model counts as recently loaded: the waiting requests learn of it within two
/// syncs and run for a few hundred milliseconds. An earlier unload would wait until they end and
/// meanwhile block the engine for others.
const RECENT_LOAD_PERIOD: Duration = Duration::from_millis(1_000);

/// Time after which a report counts every accepted order: reports are some hundred milliseconds old on
/// arrival.
const COUNT_LIMIT: Duration = Duration::from_secs(2);

/// A loaded model with its adapters, as an engine reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedModel {
    /// The model.
    pub model: Arc<str>,
    /// Its adapters.
    pub adapters: Vec<Arc<str>>,
}

/// What an engine reports about itself; a few hundred milliseconds old on arrival.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedStatus {
    /// When the engine process started, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether it is executing an order.
    pub is_busy: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// The models that it holds.
    pub models: Vec<ReportedModel>,
    /// Adapters that are being loaded, each after its model.
    pub loading_adapters: Vec<(Arc<str>, Arc<str>)>,
    /// Models whose checkpoint is in its memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models whose checkpoint is on its disk.
    pub on_disk: Vec<Arc<str>>,
}

/// How the call that sent an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The engine accepted it.
    Accepted,
    /// The engine answered that the change is in effect already.
    Holds,
    /// The engine refused it; the local state is outdated.
    Refused,
    /// No byte of it was sent.
    NotSent,
    /// It may be executed, now or seconds later.
    Unknown,
}

/// How long an engine takes to execute an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderDuration {
    /// Reliable enough to continue without reading the engine.
    Certain(Duration),
    /// The engine has to report that it is done.
    Expected(Duration),
}

/// An order that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
struct SentChange {
    change: ModelChange,
    /// The engine executes it only while its count of accepted orders is at most this.
    expected_count: u64,
    sent: MonotonicTime,
    /// Whether it counts as done once its time has passed, without reading the engine.
    is_certain: bool,
}

/// The models and adapters of one engine. Everything that may be present counts as present until
/// the engine's own count of accepted orders shows otherwise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineInventory {
    status: Option<ReportedStatus>,
    /// Number of accepted orders, from the last reported status and the answers since.
    accepted: u64,
    /// The order that is being executed, and when it should be done.
    current: Option<(SentChange, MonotonicTime)>,
    /// Orders answered as accepted that the engine hasn't counted in a report yet; of those that can't
    /// be executed any more, the last one alone.
    uncounted: Vec<SentChange>,
    /// Orders without an answer that may still be executed.
    open: Vec<SentChange>,
    /// Models whose load was accepted, and when it should be done.
    loaded: Vec<(Arc<str>, MonotonicTime)>,
    /// The change of an order that is being sent.
    sending: Option<ModelChange>,
    /// Whether the engine must be read again before the next order.
    needs_read: bool,
}

impl EngineInventory {
    /// Stores a status that was requested at `asked`. Ignores one that is older than the last accepted
    /// order and returns false. An order that isn't counted long after it was answered as accepted
    /// wasn't, but may still be.
    pub fn observe(&mut self, asked: MonotonicTime, status: ReportedStatus) -> bool {
        let is_restart =
            self.status.as_ref().is_some_and(|held| held.started_unix_ms < status.started_unix_ms);
        if is_restart {
            *self = Self::default();
        }
        if status.accepted < self.accepted {
            let is_due = |order: &SentChange| asked.since(order.sent) >= COUNT_LIMIT;
            if !self.uncounted.last().is_some_and(is_due) {
                return false;
            }
            self.open.append(&mut self.uncounted);
            self.loaded.clear();
            self.current = None;
        }
        if status.accepted > self.accepted {
            self.current = None;
        }
        self.uncounted.retain(|order| order.expected_count >= status.accepted);
        self.accepted = status.accepted;
        self.needs_read = false;
        self.open.retain(|open| open.expected_count >= status.accepted);
        if !status.is_busy && status.loading_adapters.is_empty() {
            self.current = None;
        }
        self.status = Some(status);
        true
    }

    /// Whether an order may be sent now.
    pub fn is_free(&self) -> bool {
        let status = self.status.as_ref();
        let can_take = status.is_some_and(|status| !status.is_busy && !status.is_leaving);
        can_take && self.current.is_none() && self.sending.is_none() && !self.needs_read
    }

    /// Expected time until the order in progress is finished; zero if there is none or it should be.
    pub fn free_in(&self, now: MonotonicTime) -> Duration {
        self.current.as_ref().map_or(Duration::ZERO, |(_, done)| done.since(now))
    }

    /// Whether `model` is being loaded, or any order is being sent.
    pub fn is_loading(&self, model: &str) -> bool {
        self.sending.is_some() || self.loading().is_some_and(|(loading, _)| &**loading == model)
    }

    /// The last reported status.
    pub fn status(&self) -> Option<&ReportedStatus> {
        self.status.as_ref()
    }

    /// The count of accepted orders that the next order must state.
    pub fn accepted_count(&self) -> u64 {
        self.accepted
    }

    /// Records that an order for `change` is being sent.
    pub fn begin_order(&mut self, change: ModelChange) {
        self.sending = Some(change);
    }

    /// Records how the call of the order that is being sent ended; `duration` is the time that the engine needs for it.
    /// After an [`OrderDuration::Certain`] the next order is sent without reading the engine: if
    /// this one isn't done by then, the engine refuses the next, and that triggers a read.
    pub fn finish_order(
        &mut self,
        now: MonotonicTime,
        expected_count: u64,
        duration: OrderDuration,
        outcome: ChangeOutcome,
    ) {
        // An engine that has started again meanwhile doesn't carry it out.
        let Some(change) = self.sending.take() else { return };
        let (duration, is_certain) = match duration {
            OrderDuration::Certain(duration) => (duration, true),
            OrderDuration::Expected(duration) => (duration, false),
        };
        let sent = SentChange { change, expected_count, sent: now, is_certain };
        match outcome {
            ChangeOutcome::Accepted if self.accepted <= expected_count => {
                self.accepted = expected_count + 1;
                if let ModelChange::LoadModel(model) = &sent.change {
                    self.loaded.push((Arc::clone(model), now + duration));
                }
                self.uncounted.push(sent.clone());
                self.current = Some((sent, now + duration));
            }
            ChangeOutcome::Unknown => self.open.push(sent),
            ChangeOutcome::Holds => {
                if let Some(status) = &mut self.status {
                    apply(&mut status.models, &sent.change);
                }
                // The engine may or may not have counted it as accepted.
                self.needs_read = true;
            }
            ChangeOutcome::Refused => self.needs_read = true,
            ChangeOutcome::Accepted | ChangeOutcome::NotSent => {}
        }
    }

    /// When the engine should be read again, if at all: at once if its state is unknown or suspect,
    /// else when the current order should be done.
    pub fn next_read_at(&self) -> Option<MonotonicTime> {
        match (&self.status, &self.current) {
            (None, _) => Some(MonotonicTime::default()),
            _ if self.needs_read => Some(MonotonicTime::default()),
            (Some(status), None) if status.is_busy => Some(MonotonicTime::default()),
            (_, Some((_, done))) => Some(*done),
            (_, None) if !self.open.is_empty() => self.open.first().map(|open| open.sent),
            _ => None,
        }
    }

    /// Requires that the engine is read before the next order, because the known state may be
    /// wrong.
    pub fn invalidate(&mut self) {
        self.needs_read = true;
    }

    /// Drops orders that can't be executed any more, and applies the current one if its time is
    /// certain and has passed.
    pub fn expire(&mut self, now: MonotonicTime) {
        let is_done =
            |(sent, done): &mut (SentChange, MonotonicTime)| sent.is_certain && now >= *done;
        if let (Some((sent, _)), Some(status)) = (self.current.take_if(is_done), &mut self.status) {
            apply(&mut status.models, &sent.change);
        }
        self.open.retain(|open| now.since(open.sent) < ORDER_LIFE);
        let last = self.uncounted.pop();
        self.uncounted.retain(|order| now.since(order.sent) < ORDER_LIFE);
        self.uncounted.extend(last);
        self.loaded.retain(|(_, done)| now < *done + RECENT_LOAD_PERIOD);
    }

    /// Models that are loaded, are being loaded, or may still be loaded.
    pub fn possible_models(&self) -> Vec<Arc<str>> {
        let held = self.status.iter().flat_map(|status| &status.models);
        let mut models: Vec<Arc<str>> = held.map(|entry| Arc::clone(&entry.model)).collect();
        for change in self.open_changes() {
            if let ModelChange::LoadModel(model) = change
                && !models.contains(model)
            {
                models.push(Arc::clone(model));
            }
        }
        models
    }

    /// Adapters that are loaded, are being loaded, or may still be loaded, each after its model.
    pub fn possible_adapters(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let mut adapters = Vec::new();
        if let Some(status) = &self.status {
            let held = status.models.iter().flat_map(|entry| {
                entry.adapters.iter().map(|adapter| (Arc::clone(&entry.model), Arc::clone(adapter)))
            });
            adapters.extend(held.chain(status.loading_adapters.iter().cloned()));
        }
        for change in self.open_changes() {
            if let ModelChange::LoadAdapter(model, adapter) = change {
                adapters.push((Arc::clone(model), Arc::clone(adapter)));
            }
        }
        adapters.sort();
        adapters.dedup();
        adapters
    }

    /// Models and adapters that may serve requests: loaded, and no unload is open.
    pub fn usable_models(&self) -> Vec<ReportedModel> {
        let mut entries: Vec<ReportedModel> =
            self.status.iter().flat_map(|status| status.models.clone()).collect();
        for change in self.open_changes() {
            match change {
                ModelChange::UnloadModel(model) => entries.retain(|entry| entry.model != *model),
                ModelChange::UnloadAdapter(model, adapter) => entries
                    .iter_mut()
                    .filter(|entry| entry.model == *model)
                    .for_each(|entry| entry.adapters.retain(|held| held != adapter)),
                ModelChange::LoadModel(_) | ModelChange::LoadAdapter(..) => {}
            }
        }
        entries
    }

    /// Models that were loaded so recently that the requests that waited for them may still be in
    /// transit or running.
    pub fn recently_loaded(&self) -> impl Iterator<Item = &Arc<str>> {
        self.loaded.iter().map(|(model, _)| model)
    }

    /// The model that is being loaded, and when it should be done.
    pub fn loading(&self) -> Option<(&Arc<str>, MonotonicTime)> {
        match &self.current {
            Some((SentChange { change: ModelChange::LoadModel(model), .. }, done)) => {
                Some((model, *done))
            }
            _ => None,
        }
    }

    /// Changes that are being carried out, or may still be.
    fn open_changes(&self) -> impl Iterator<Item = &ModelChange> {
        let sent = self.current.iter().map(|(sent, _)| sent).chain(&self.open);
        sent.map(|sent| &sent.change).chain(&self.sending)
    }
}

/// Applies a change to the loaded models.
fn apply(models: &mut Vec<ReportedModel>, change: &ModelChange) {
    match change {
        ModelChange::LoadModel(model) => {
            models.retain(|entry| entry.model != *model);
            models.push(ReportedModel { model: Arc::clone(model), adapters: Vec::new() });
        }
        ModelChange::UnloadModel(model) => models.retain(|entry| entry.model != *model),
        ModelChange::LoadAdapter(model, adapter) => {
            let entry = models.iter_mut().find(|entry| entry.model == *model);
            let adapters = entry.map(|entry| &mut entry.adapters);
            if let Some(adapters) = adapters.filter(|adapters| !adapters.contains(adapter)) {
                adapters.push(Arc::clone(adapter));
            }
        }
        ModelChange::UnloadAdapter(model, adapter) => {
            let entries = models.iter_mut().filter(|entry| entry.model == *model);
            entries.for_each(|entry| entry.adapters.retain(|held| held != adapter));
        }
    }
}
