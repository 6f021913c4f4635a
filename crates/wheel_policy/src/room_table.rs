//! Room at engines, as far as one instance may use it.

use std::collections::HashMap;
use std::time::Duration;

use wheel_route::EngineId;
use wheel_types::MonotonicTime;

use crate::room_credit::RoomCredit;
use crate::{DispatchView, EngineRoom, SeededRandom};

/// Requests that each rank may have wait at an engine, as a part of its slots; the last one holds for
/// all further ranks. An urgent request then waits there for one request's time at most. Patient
/// ones wait in the instances, since those that wait at an engine take places that urgent ones need.
const QUEUE_PARTS: [f64; RANK_CLASSES] = [1.0, 0.5, 0.0];
/// The least of these parts where no more urgent requests are for the same models: slots that become
/// free between two views are used then, a quarter of them in 0.2 s.
const UNRIVALLED_PART: f64 = 0.25;
/// Number of classes of ranks with different room.
pub(crate) const RANK_CLASSES: usize = 3;
/// Time after which an instance draws its part of the room again if no new view has arrived: about
/// as long as a view takes.
const REDRAW_TIME: Duration = Duration::from_millis(400);
/// Age of a view above which the room in it is no longer drawn from.
const MAX_DRAW_AGE: Duration = Duration::from_millis(2_500);

/// The class of a rank.
pub(crate) fn rank_class(rank: u8) -> usize {
    usize::from(rank).min(RANK_CLASSES - 1)
}

/// Requests that an engine may have before no more of the class are sent there. `has_rivals` is
/// whether more urgent ones are for the same models.
pub(crate) fn active_limit(class: usize, slots: u32, has_rivals: bool) -> u32 {
    let part = QUEUE_PARTS[class].max(if has_rivals { 0.0 } else { UNRIVALLED_PART });
    match slots {
        0 => u32::MAX,
        slots => slots + (f64::from(slots) * part) as u32,
    }
}

/// Requests that wait for one engine: here, and probably at all other instances together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineDemand {
    /// Each counted by its weight in the draw.
    pub(crate) own: [f64; RANK_CLASSES],
    pub(crate) others: [f64; RANK_CLASSES],
    /// Whether more urgent requests are for the same models.
    pub(crate) has_rivals: [bool; RANK_CLASSES],
}

/// One engine's room.
#[derive(Clone, Debug, Default)]
struct TableEntry {
    free: [u32; RANK_CLASSES],
    credits: [RoomCredit; RANK_CLASSES],
    /// Whether the parts were drawn; without waiting requests there is nothing to draw for.
    is_drawn: [bool; RANK_CLASSES],
    /// What other instances probably drew, and when.
    drawn_elsewhere: Vec<(MonotonicTime, f64)>,
}

/// The engines' room and this instance's part of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomTable {
    entries: HashMap<EngineId, TableEntry>,
    /// The generation of the view that the parts were drawn for, and when.
    drawn: Option<(u64, MonotonicTime)>,
}

impl RoomTable {
    /// Takes in the engines' open requests; `reserved` are sends that are decided but not counted in
    /// them.
    pub(crate) fn refresh(
        &mut self,
        now: MonotonicTime,
        rooms: &[EngineRoom],
        view: DispatchView,
        reserved: &HashMap<&EngineId, u32>,
        demand: &HashMap<&EngineId, EngineDemand>,
        random: &mut SeededRandom,
    ) {
        let is_drawn = |(generation, drawn): (u64, MonotonicTime)| {
            let is_unusable = view.age > MAX_DRAW_AGE && view.ingress_count > 1;
            generation == view.generation && (is_unusable || now.since(drawn) < REDRAW_TIME)
        };
        let draws = !self.drawn.is_some_and(is_drawn);
        if draws {
            self.drawn = Some((view.generation, now));
        }
        let mut entries = HashMap::with_capacity(rooms.len());
        for room in rooms {
            let active = room.active + reserved.get(&room.engine).copied().unwrap_or(0);
            let demand = demand.get(&room.engine).copied().unwrap_or_default();
            let mut entry = self.entries.remove(&room.engine).unwrap_or_default();
            if draws {
                entry.is_drawn = [false; RANK_CLASSES];
                entry.credits = [RoomCredit::default(); RANK_CLASSES];
            }
            // The view doesn't show yet what was drawn after its numbers were taken.
            entry.drawn_elsewhere.retain(|(drawn, _)| now.since(*drawn) < view.age);
            let unseen: f64 = entry.drawn_elsewhere.iter().map(|(_, sends)| sends).sum();
            for class in 0..RANK_CLASSES {
                let limit = active_limit(class, room.slots, demand.has_rivals[class]);
                let free = limit.saturating_sub(active);
                entry.free[class] = free;
                if entry.is_drawn[class] {
                    entry.credits[class].update(free);
                } else if demand.own[class] > 0.0 {
                    let (own, others) = (demand.own[class], demand.others[class]);
                    let (credit, elsewhere) = RoomCredit::draw(free, unseen, own, others, random);
                    entry.credits[class] = credit;
                    entry.is_drawn[class] = true;
                    entry.drawn_elsewhere.push((now, elsewhere));
                }
            }
            entries.insert(room.engine.clone(), entry);
        }
        self.entries = entries;
    }

    /// Whether a request of the class may be sent to the engine now.
    pub(crate) fn allows(&self, engine: &EngineId, class: usize) -> bool {
        self.entries.get(engine).is_some_and(|entry| entry.credits[class].allows())
    }

    /// Places that the engine has for the class.
    pub(crate) fn free(&self, engine: &EngineId, class: usize) -> u32 {
        self.entries.get(engine).map_or(0, |entry| entry.free[class])
    }

    /// Counts a send.
    pub(crate) fn take(&mut self, engine: &EngineId) {
        if let Some(entry) = self.entries.get_mut(engine) {
            entry.credits.iter_mut().for_each(RoomCredit::take);
            entry.free.iter_mut().for_each(|free| *free = free.saturating_sub(1));
        }
    }

    /// When the parts are drawn again if there is room that this instance had no part in.
    pub(crate) fn next_draw(&self) -> Option<MonotonicTime> {
        let (_, drawn) = self.drawn?;
        let has_room = self.entries.values().any(|entry| entry.free.iter().any(|free| *free > 0));
        has_room.then(|| drawn + REDRAW_TIME)
    }
}
