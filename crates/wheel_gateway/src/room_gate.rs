//! Lets a request pass to an engine with room, in its turn.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wheel_policy::{DispatchRequest, ModelResidency, UpstreamCandidate};
use wheel_route::{EngineId, FleetView};

use crate::request_dispatcher::{EntryOutcome, TurnOutcome, WaitingTurn};
use crate::upstream_search::{MIN_ANSWER_TIME, UpstreamSearch};

/// Which engines a request may be sent to now.
#[derive(Debug)]
pub(crate) enum GateAnswer {
    /// Any that can serve it.
    Open,
    /// One of these.
    Send(Vec<EngineId>),
    /// None; it waits, for this time if that is known.
    Wait(Option<Duration>),
    /// None in the time that it has left; room is expected after this time.
    Refuse(Duration),
}

/// The turn of one request among all that wait in this instance. Open for requests without a model,
/// and where the settings don't have waiting controlled.
pub(crate) struct RoomGate {
    request: Option<DispatchRequest>,
    turn: Option<WaitingTurn>,
    /// A turn that has come, whose place at the engine is reserved.
    used: Option<WaitingTurn>,
    outcome: Option<TurnOutcome>,
}

impl RoomGate {
    /// Begins without a turn.
    pub(crate) fn begin(search: &UpstreamSearch<'_>) -> Self {
        let key = search.demand_key().filter(|_| search.context.settings.waits_for_room);
        let request = key.map(|target| {
            let dispatcher = &search.context.dispatcher;
            let arrival = search.log.arrival();
            let generation = search.request.generation.as_ref();
            let tokens = generation.map(|request| request.prompt_tokens + request.answer_tokens);
            let deadline = search.deadline.checked_sub(MIN_ANSWER_TIME).unwrap_or(arrival);
            // The caller of a stream that resumes waits for the next event, not for the first.
            let objective_end = match (search.is_resumption, search.route.gap) {
                (true, Some(gap)) => Instant::now() + gap,
                _ => arrival + search.route.objective,
            };
            DispatchRequest {
                target,
                team: search.team.map(Arc::clone),
                rank: search.rank,
                cost: search.request.tokens.or(tokens).unwrap_or(1),
                arrival: dispatcher.time_of(arrival),
                objective_end: dispatcher.time_of(objective_end),
                deadline: dispatcher.time_of(deadline),
            }
        });
        Self { request, turn: None, used: None, outcome: None }
    }

    /// Whether requests pass without a turn.
    pub(crate) fn is_open(&self) -> bool {
        self.request.is_none()
    }

    /// Which of `engines`, all that can serve the request, it may be sent to now. Without any, it
    /// waits for a load of its model, of which the first ends after `load`.
    pub(crate) fn check(
        &mut self,
        search: &UpstreamSearch<'_>,
        engines: &[EngineId],
        load: Option<(Duration, u32)>,
    ) -> GateAnswer {
        let Some(request) = &self.request else { return GateAnswer::Open };
        // The request isn't sent with its last turn, since another one took the last permit.
        self.used = None;
        match self.outcome.take() {
            Some(TurnOutcome::Send(allowed)) => {
                let allowed: Vec<EngineId> =
                    allowed.into_iter().filter(|engine| engines.contains(engine)).collect();
                let turn = self.turn.take();
                if !allowed.is_empty() {
                    self.used = turn;
                    return GateAnswer::Send(allowed);
                }
            }
            Some(TurnOutcome::Refuse(after)) => return GateAnswer::Refuse(after),
            None => {}
        }
        let load = load.map(|(time, slots)| (Instant::now() + time, slots));
        if self.turn.is_none() {
            match search.context.dispatcher.enter(request.clone(), engines) {
                EntryOutcome::Decided(TurnOutcome::Send(engines)) => {
                    return GateAnswer::Send(engines);
                }
                EntryOutcome::Decided(TurnOutcome::Refuse(after)) => {
                    return GateAnswer::Refuse(after);
                }
                EntryOutcome::Wait(turn) => self.turn = Some(turn),
            }
        }
        GateAnswer::Wait(self.turn.as_ref().and_then(|turn| turn.update(engines, load)))
    }

    /// Waits for a decision, which the next check takes. Never ends without a turn.
    pub(crate) async fn decided(&mut self) {
        let Some(turn) = &mut self.turn else { return std::future::pending().await };
        self.outcome = Some(turn.outcome().await);
    }
}

/// The engines that a request may wait for: those that can serve it, without those that failed
/// recently if there are others.
pub(crate) fn able_engines(
    view: &FleetView,
    ready: &[usize],
    candidates: &[UpstreamCandidate],
) -> Vec<EngineId> {
    let able = ready.iter().zip(candidates).filter(|(_, candidate)| {
        candidate.residency == ModelResidency::Full
            && !candidate.was_tried
            && !candidate.is_unreachable
            && !candidate.is_blocked
    });
    let able: Vec<(&usize, bool)> =
        able.map(|(index, candidate)| (index, candidate.is_suspect)).collect();
    let has_sound = able.iter().any(|(_, is_suspect)| !is_suspect);
    let kept = able.into_iter().filter(|(_, is_suspect)| !(has_sound && *is_suspect));
    kept.map(|(index, _)| view.engines[*index].id.clone()).collect()
}

/// The slots of a service's engines, of which one will hold a model that is being loaded.
pub(crate) fn usual_slots(view: &FleetView, ready: &[usize]) -> u32 {
    ready.iter().map(|index| view.engines[*index].slots).max().unwrap_or(0)
}
