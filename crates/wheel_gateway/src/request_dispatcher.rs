//! Requests of this instance that wait until an engine has room.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use metrics::{gauge, histogram};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until};
use wheel_policy::{
    DispatchEntry, DispatchQueue, DispatchRequest, DispatchStep, DispatchTicket, DispatchView,
    EngineRoom,
};
use wheel_route::{EngineId, FleetView};
use wheel_types::MonotonicTime;

use crate::FleetState;

/// Pause between a change and the decision on it, in which the other requests that the change
/// concerns take part in it as well.
const DECISION_PAUSE: Duration = Duration::from_millis(5);

/// What was decided on a request that waits.
#[derive(Debug)]
pub(crate) enum TurnOutcome {
    /// It is sent now, to one of these engines.
    Send(Vec<EngineId>),
    /// It is refused; room is expected after this time.
    Refuse(Duration),
}

/// What was decided on a request at its arrival.
pub(crate) enum EntryOutcome {
    /// It is decided.
    Decided(TurnOutcome),
    /// It waits.
    Wait(WaitingTurn),
}

/// Holds requests until an engine has room. The lock is never held across an await.
pub(crate) struct RequestDispatcher {
    state: Arc<FleetState>,
    start: Instant,
    table: Mutex<DispatchTable>,
    changed: Notify,
}

#[derive(Default)]
struct DispatchTable {
    /// The queue of each service.
    queues: HashMap<Arc<str>, DispatchQueue>,
    turns: HashMap<(Arc<str>, DispatchTicket), oneshot::Sender<TurnOutcome>>,
    /// The view of the last decision; kept so that another one can't have its address.
    last_view: Arc<FleetView>,
    generation: u64,
    /// Whether a task decides on the waiting requests.
    is_driven: bool,
    counts: BTreeMap<u8, usize>,
}

/// The place of a request in a queue, until it is dropped. A request that is sent keeps it until it
/// is counted at its engine.
pub(crate) struct WaitingTurn {
    dispatcher: Arc<RequestDispatcher>,
    service: Arc<str>,
    ticket: DispatchTicket,
    outcome: oneshot::Receiver<TurnOutcome>,
    rank: u8,
    began: Instant,
}

impl DispatchTable {
    fn queue(&mut self, service: &Arc<str>) -> &mut DispatchQueue {
        let queue = self.queues.entry(Arc::clone(service));
        queue.or_insert_with(|| DispatchQueue::open(rand::random()))
    }

    fn advance(&mut self, view: &Arc<FleetView>) -> u64 {
        if !Arc::ptr_eq(&self.last_view, view) {
            self.last_view = Arc::clone(view);
            self.generation += 1;
        }
        self.generation
    }

    fn record_holds(&mut self, view: &FleetView, holds: &[(EngineId, Duration)]) {
        for (engine, hold) in holds {
            let info = view.engines.iter().find(|info| info.id == *engine);
            if let Some(queue) = info.and_then(|info| self.queues.get_mut(&info.service)) {
                queue.record_end(*hold);
            }
        }
    }

    fn update_gauges(&mut self) {
        let mut counts: BTreeMap<u8, usize> = self.counts.keys().map(|rank| (*rank, 0)).collect();
        for (rank, count) in self.queues.values().flat_map(DispatchQueue::waiting_by_rank) {
            *counts.entry(rank).or_default() += count;
        }
        for (rank, count) in &counts {
            gauge!("wheel_waiting_requests", "rank" => rank.to_string()).set(*count as f64);
        }
        self.counts = counts;
    }
}

impl RequestDispatcher {
    /// Creates a dispatcher without requests; times are counted from `start`.
    pub(crate) fn new(state: Arc<FleetState>, start: Instant) -> Self {
        Self { state, start, table: Mutex::default(), changed: Notify::new() }
    }

    /// Decides on a request that `engines` can serve once they have room.
    pub(crate) fn enter(
        self: &Arc<Self>,
        request: DispatchRequest,
        engines: &[EngineId],
    ) -> EntryOutcome {
        let (service, rank) = (Arc::clone(&request.target.service), request.rank);
        let view = self.state.view();
        let rooms = self.rooms(&view, engines);
        let (now, age) = (self.now(), self.state.view_age());
        let holds = self.state.holds.take();
        let mut table = self.table.lock();
        let dispatch_view = dispatch_view(&mut table, &view, age);
        table.record_holds(&view, &holds);
        let ticket = match table.queue(&service).enter(now, request, &rooms, dispatch_view) {
            DispatchEntry::Send(engines) => {
                return EntryOutcome::Decided(TurnOutcome::Send(engines));
            }
            DispatchEntry::Refuse(after) => {
                return EntryOutcome::Decided(TurnOutcome::Refuse(after));
            }
            DispatchEntry::Wait(ticket) => ticket,
        };
        let (sender, outcome) = oneshot::channel();
        table.turns.insert((Arc::clone(&service), ticket), sender);
        if !std::mem::replace(&mut table.is_driven, true) {
            tokio::spawn(Arc::clone(self).drive());
        }
        drop(table);
        self.changed.notify_one();
        let (dispatcher, began) = (Arc::clone(self), Instant::now());
        EntryOutcome::Wait(WaitingTurn { dispatcher, service, ticket, outcome, rank, began })
    }

    /// The time for the queues.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + self.start.elapsed()
    }

    /// The time in the queues at which `instant` is.
    pub(crate) fn time_of(&self, instant: Instant) -> MonotonicTime {
        MonotonicTime::default() + instant.saturating_duration_since(self.start)
    }

    /// Decides on the waiting requests until there are none.
    async fn drive(self: Arc<Self>) {
        loop {
            let (has_waiting, wake) = self.decide();
            if !has_waiting {
                return;
            }
            tokio::select! {
                () = self.changed.notified() => sleep(DECISION_PAUSE).await,
                () = self.state.request_ended() => {}
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {}
            }
        }
    }

    /// Decides once; returns whether requests wait, and when to decide again at the latest.
    fn decide(&self) -> (bool, Option<Instant>) {
        let view = self.state.view();
        let engines: Vec<(Arc<str>, Vec<EngineId>)> = {
            let table = self.table.lock();
            table.queues.iter().map(|(name, queue)| (Arc::clone(name), queue.engines())).collect()
        };
        let rooms: Vec<(Arc<str>, Vec<EngineRoom>)> = engines
            .into_iter()
            .map(|(service, engines)| (service, self.rooms(&view, &engines)))
            .collect();
        let (now, age) = (self.now(), self.state.view_age());
        let mut table = self.table.lock();
        let dispatch_view = dispatch_view(&mut table, &view, age);
        let mut wake = None;
        for (service, rooms) in rooms {
            let queue = table.queue(&service);
            let steps = queue.decide(now, &rooms, dispatch_view);
            wake = wake.into_iter().chain(queue.next_decision(now)).min();
            for step in steps {
                let (ticket, outcome) = match step {
                    DispatchStep::Send(ticket, engines) => (ticket, TurnOutcome::Send(engines)),
                    DispatchStep::Refuse(ticket, after) => (ticket, TurnOutcome::Refuse(after)),
                };
                let sender = table.turns.remove(&(Arc::clone(&service), ticket));
                // A caller that has just left takes its request out itself.
                let _ = sender.map(|sender| sender.send(outcome));
            }
        }
        table.update_gauges();
        let has_waiting = table.queues.values().any(|queue| !queue.is_empty());
        table.is_driven = has_waiting;
        (has_waiting, wake.map(|time| self.start + time.since(MonotonicTime::default())))
    }

    /// The room of those of `engines` that are in the view.
    fn rooms(&self, view: &FleetView, engines: &[EngineId]) -> Vec<EngineRoom> {
        let engines: HashSet<&EngineId> = engines.iter().collect();
        let listed = view.engines.iter().enumerate();
        let indices: Vec<usize> =
            listed.filter(|(_, info)| engines.contains(&info.id)).map(|(index, _)| index).collect();
        let active = self.state.active_at(view, &indices);
        let room = |(index, active): (&usize, u32)| {
            let info = &view.engines[*index];
            EngineRoom { engine: info.id.clone(), slots: info.slots, active }
        };
        indices.iter().zip(active).map(room).collect()
    }

    fn remove(&self, service: &Arc<str>, ticket: DispatchTicket) {
        let mut table = self.table.lock();
        table.turns.remove(&(Arc::clone(service), ticket));
        table.queue(service).remove(ticket);
        table.update_gauges();
        drop(table);
        self.changed.notify_one();
    }
}

impl WaitingTurn {
    /// Changes the engines that can serve the request once they have room, and the load of its model
    /// that ends first, with the slots of the engine. Returns the expected time until it is sent.
    pub(crate) fn update(
        &self,
        engines: &[EngineId],
        load: Option<(Instant, u32)>,
    ) -> Option<Duration> {
        let dispatcher = &self.dispatcher;
        let load = load.map(|(end, slots)| (dispatcher.time_of(end), slots));
        let view = dispatcher.state.view();
        let rooms = dispatcher.rooms(&view, engines);
        let (now, age) = (dispatcher.now(), dispatcher.state.view_age());
        let expected = {
            let mut table = dispatcher.table.lock();
            let dispatch_view = dispatch_view(&mut table, &view, age);
            let queue = table.queue(&self.service);
            queue.update(self.ticket, engines.to_vec(), load);
            queue.expected_wait(now, self.ticket, &rooms, dispatch_view)
        };
        dispatcher.changed.notify_one();
        expected
    }

    /// Waits for the decision on the request.
    pub(crate) async fn outcome(&mut self) -> TurnOutcome {
        match (&mut self.outcome).await {
            Ok(outcome) => outcome,
            // The sender is only dropped with this turn.
            Err(_) => std::future::pending().await,
        }
    }
}

impl Drop for WaitingTurn {
    fn drop(&mut self) {
        histogram!("wheel_wait_seconds", "rank" => self.rank.to_string())
            .record(self.began.elapsed().as_secs_f64());
        self.dispatcher.remove(&self.service, self.ticket);
    }
}

fn dispatch_view(table: &mut DispatchTable, view: &Arc<FleetView>, age: Duration) -> DispatchView {
    let generation = table.advance(view);
    DispatchView { generation, ingress_count: view.ingress_count, age }
}
