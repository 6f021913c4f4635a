//! What one engine holds and may come to hold, by its own word and by the orders sent to it.

use std::sync::Arc;
use std::time::Duration;

use wheel_types::{ModelChange, MonotonicTime};

/// Time after which an order that got no answer can't be carried out any more. Engines are known to
/// carry such orders out up to 12 s later; the rest covers its way.
const ORDER_LIFE: Duration = Duration::from_secs(14);

/// Time for which a loaded model counts as fresh: those who waited hear of it within two syncs and run for
/// some hundred milliseconds. An unload before that would wait for their ends and keep the engine from others.
const RESIDENCE: Duration = Duration::from_millis(1_000);

/// A model with its adapters, as a reading shows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeldEntry {
    /// The model.
    pub model: Arc<str>,
    /// Its adapters.
    pub adapters: Vec<Arc<str>>,
}

/// What an engine says of itself. It is some hundred milliseconds old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReading {
    /// When this start of the engine was, in Unix milliseconds.
    pub born: u64,
    /// Orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether it carries an order out.
    pub is_busy: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// What it holds.
    pub models: Vec<HeldEntry>,
    /// Adapters on their way to it, with their models.
    pub arriving: Vec<(Arc<str>, Arc<str>)>,
    /// Models with a copy in its memory.
    pub in_memory: Vec<Arc<str>>,
    /// Models with a copy on its disk.
    pub on_disk: Vec<Arc<str>>,
}

/// How an order's call ended, as far as the account is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeEnd {
    /// The engine accepted it.
    Accepted,
    /// The engine says that this holds already.
    Holds,
    /// The engine refused it; the account is behind.
    Refused,
    /// Nothing left.
    NotSent,
    /// It may be carried out, now or seconds later.
    Unknown,
}

/// How long an order takes to be carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderTime {
    /// Certain enough to go on without a reading.
    Certain(Duration),
    /// A reading has to show that it is done.
    Expected(Duration),
}

/// An order that was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
struct SentChange {
    change: ModelChange,
    /// The count of accepted orders that guards it: it is dead once the engine has accepted more.
    expect: u64,
    sent: MonotonicTime,
    /// Whether it counts as carried out once its time is over, without a reading.
    is_trusted: bool,
}

/// One engine's account. Everything that may be there counts as there, until the engine's own count of
/// accepted orders shows otherwise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeldAccount {
    reading: Option<EngineReading>,
    /// Orders accepted, by the last reading and the answers since.
    accepted: u64,
    /// The order that is being carried out, and when it should be done.
    current: Option<(SentChange, MonotonicTime)>,
    /// Orders without answer that may still be carried out.
    open: Vec<SentChange>,
    /// Models that were ordered, and when their loads should be done.
    loaded: Vec<(Arc<str>, MonotonicTime)>,
    /// Whether an order is on its way right now.
    is_sending: bool,
    /// Whether a new reading is needed before the next order.
    is_doubted: bool,
}

impl HeldAccount {
    /// Takes a reading over. One that is older than the last accepted order is left out; false then.
    pub fn observe(&mut self, reading: EngineReading) -> bool {
        let is_restart = self.reading.as_ref().is_some_and(|held| held.born < reading.born);
        if is_restart {
            *self = Self::default();
        }
        if reading.accepted < self.accepted {
            return false;
        }
        if reading.accepted > self.accepted {
            self.current = None;
        }
        self.accepted = reading.accepted;
        self.is_doubted = false;
        self.open.retain(|open| open.expect >= reading.accepted);
        if !reading.is_busy && reading.arriving.is_empty() {
            self.current = None;
        }
        self.reading = Some(reading);
        true
    }

    /// Whether an order may be sent now.
    pub fn is_free(&self) -> bool {
        let reading = self.reading.as_ref();
        let can_take = reading.is_some_and(|reading| !reading.is_busy && !reading.is_leaving);
        can_take && self.current.is_none() && !self.is_sending && !self.is_doubted
    }

    /// Whether the order to load `model` is on its way or being carried out; another order isn't it.
    pub fn is_loading(&self, model: &str) -> bool {
        self.is_sending || self.loading().is_some_and(|(loading, _)| &**loading == model)
    }

    /// The last reading.
    pub fn reading(&self) -> Option<&EngineReading> {
        self.reading.as_ref()
    }

    /// The count that guards the next order.
    pub fn expect(&self) -> u64 {
        self.accepted
    }

    /// Begins to send an order.
    pub fn begin(&mut self) {
        self.is_sending = true;
    }

    /// Notes how an order's call ended. `takes` is the time that it needs to be carried out, where that is
    /// certain enough to go on without a reading; the engine refuses the next order if it isn't done, and
    /// that brings a reading.
    pub fn end(
        &mut self,
        now: MonotonicTime,
        change: ModelChange,
        expect: u64,
        takes: OrderTime,
        end: ChangeEnd,
    ) {
        self.is_sending = false;
        let (takes, is_trusted) = match takes {
            OrderTime::Certain(takes) => (takes, true),
            OrderTime::Expected(takes) => (takes, false),
        };
        let sent = SentChange { change, expect, sent: now, is_trusted };
        match end {
            ChangeEnd::Accepted if self.accepted <= expect => {
                self.accepted = expect + 1;
                self.open.retain(|open| open.expect > expect);
                if let ModelChange::LoadModel(model) = &sent.change {
                    self.loaded.push((Arc::clone(model), now + takes));
                }
                self.current = Some((sent, now + takes));
            }
            ChangeEnd::Unknown => self.open.push(sent),
            ChangeEnd::Holds => {
                if let Some(reading) = &mut self.reading {
                    apply(&mut reading.models, &sent.change);
                }
                // It may or may not count among the accepted orders.
                self.is_doubted = true;
            }
            ChangeEnd::Refused => self.is_doubted = true,
            ChangeEnd::Accepted | ChangeEnd::NotSent => {}
        }
    }

    /// When the engine should be read again: an order should be done by then, or none is known.
    pub fn read_at(&self) -> Option<MonotonicTime> {
        match (&self.reading, &self.current) {
            (None, _) => Some(MonotonicTime::default()),
            _ if self.is_doubted => Some(MonotonicTime::default()),
            (Some(reading), None) if reading.is_busy => Some(MonotonicTime::default()),
            (_, Some((_, done))) => Some(*done),
            (_, None) if !self.open.is_empty() => self.open.first().map(|open| open.sent),
            _ => None,
        }
    }

    /// Demands a new reading before the next order: something shows that the account may be wrong.
    pub fn doubt(&mut self) {
        self.is_doubted = true;
    }

    /// Forgets orders that can't be carried out any more, and takes those as done whose time is certain.
    pub fn expire(&mut self, now: MonotonicTime) {
        let is_done =
            |(sent, done): &mut (SentChange, MonotonicTime)| sent.is_trusted && now >= *done;
        if let (Some((sent, _)), Some(reading)) = (self.current.take_if(is_done), &mut self.reading)
        {
            apply(&mut reading.models, &sent.change);
        }
        self.open.retain(|open| now.since(open.sent) < ORDER_LIFE);
        self.loaded.retain(|(_, done)| now < *done + RESIDENCE);
    }

    /// Models that are there, on their way, or may come to be there.
    pub fn possible_models(&self) -> Vec<Arc<str>> {
        let held = self.reading.iter().flat_map(|reading| &reading.models);
        let mut models: Vec<Arc<str>> = held.map(|entry| Arc::clone(&entry.model)).collect();
        for sent in self.sent() {
            if let ModelChange::LoadModel(model) = &sent.change
                && !models.contains(model)
            {
                models.push(Arc::clone(model));
            }
        }
        models
    }

    /// Adapters that are there, on their way, or may come to be there, with their models.
    pub fn possible_adapters(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let mut adapters = Vec::new();
        if let Some(reading) = &self.reading {
            let held = reading.models.iter().flat_map(|entry| {
                entry.adapters.iter().map(|adapter| (Arc::clone(&entry.model), Arc::clone(adapter)))
            });
            adapters.extend(held.chain(reading.arriving.iter().cloned()));
        }
        for sent in self.sent() {
            if let ModelChange::LoadAdapter(model, adapter) = &sent.change {
                adapters.push((Arc::clone(model), Arc::clone(adapter)));
            }
        }
        adapters.sort();
        adapters.dedup();
        adapters
    }

    /// What requests may be sent for: held, and neither being unloaded nor possibly so.
    pub fn usable(&self) -> Vec<HeldEntry> {
        let mut entries: Vec<HeldEntry> =
            self.reading.iter().flat_map(|reading| reading.models.clone()).collect();
        for sent in self.sent() {
            match &sent.change {
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

    /// Models that were loaded so lately that those who waited for them may still be on their way or running.
    pub fn fresh_models(&self) -> impl Iterator<Item = &Arc<str>> {
        self.loaded.iter().map(|(model, _)| model)
    }

    /// The model that is being loaded, with the time when it should be there.
    pub fn loading(&self) -> Option<(&Arc<str>, MonotonicTime)> {
        match &self.current {
            Some((SentChange { change: ModelChange::LoadModel(model), .. }, done)) => {
                Some((model, *done))
            }
            _ => None,
        }
    }

    fn sent(&self) -> impl Iterator<Item = &SentChange> {
        self.current.iter().map(|(sent, _)| sent).chain(&self.open)
    }
}

/// Applies an order to what is held.
fn apply(models: &mut Vec<HeldEntry>, change: &ModelChange) {
    match change {
        ModelChange::LoadModel(model) => {
            models.retain(|entry| entry.model != *model);
            models.push(HeldEntry { model: Arc::clone(model), adapters: Vec::new() });
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
