//! The part of an engine's room that one instance may use.

use crate::SeededRandom;

/// Sends to one engine that one instance may decide until the next view of the fleet. All instances
/// see the same room, a view later; without it, each would fill all of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoomCredit {
    sends: u32,
    /// The room at the last update.
    room: u32,
}

impl RoomCredit {
    /// Draws the part of `room`, less the `unseen` sends of other instances, for `own` waiting
    /// requests among `others` elsewhere. The fraction of a send is drawn at random, so that the sum
    /// over all instances is the room on average. Returns the sends of other instances as well.
    pub(crate) fn draw(
        room: u32,
        unseen: f64,
        own: f64,
        others: f64,
        random: &mut SeededRandom,
    ) -> (Self, f64) {
        let left = (f64::from(room) - unseen).max(0.0);
        let share = own / (own + others);
        let part = left * share;
        let sends = part.floor() + f64::from(u8::from(random.next_unit() < part.fract()));
        (Self { sends: sends as u32, room }, others.min(left * (1.0 - share)))
    }

    /// Adds the places that this instance's own requests freed since the last update: no other
    /// instance knows of them yet.
    pub(crate) fn update(&mut self, room: u32) {
        self.sends += room.saturating_sub(self.room);
        self.room = room;
    }

    /// Whether a send may be decided.
    pub(crate) fn allows(self) -> bool {
        self.sends > 0 && self.room > 0
    }

    /// Counts a send.
    pub(crate) fn take(&mut self) {
        self.sends = self.sends.saturating_sub(1);
        self.room = self.room.saturating_sub(1);
    }
}
