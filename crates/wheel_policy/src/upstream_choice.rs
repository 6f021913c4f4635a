//! Chooses the upstream for a request where each ingress sends requests itself.

use crate::SeededRandom;
use crate::expected_time::is_slow;

/// What an upstream has loaded of the requested model and adapter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelResidency {
    /// The model and, if requested, the adapter.
    Full,
    /// The model, but not the adapter.
    ModelOnly,
    /// Not even the model.
    Absent,
}

/// One upstream as a candidate for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// Requests that it serves at once.
    pub slots: u32,
    /// Requests in progress there, from all instances as far as known.
    pub active: u32,
    /// Whether it is in this data centre.
    pub is_local: bool,
    /// What it has loaded.
    pub residency: ModelResidency,
    /// Whether it failed recently.
    pub is_suspect: bool,
    /// Whether it couldn't be reached recently; it isn't chosen then.
    pub is_unreachable: bool,
    /// Whether it has asked not to be called now, or its limit is used up; it isn't chosen then.
    pub is_blocked: bool,
    /// Whether this request was already sent there.
    pub was_tried: bool,
    /// Its speed relative to the usual one of its service; 1 if unknown.
    pub speed: f64,
    /// Expected time to the first event, in milliseconds; `None` while nothing has been measured at
    /// its service.
    pub expected_ms: Option<f64>,
    /// Whether it probably holds a long beginning of the prompt.
    pub holds_prefix: bool,
}

impl UpstreamCandidate {
    /// Whether it has all that is requested loaded and may be called.
    pub fn is_usable(&self) -> bool {
        self.residency == ModelResidency::Full
            && !self.was_tried
            && !self.is_unreachable
            && !self.is_blocked
    }

    /// Expected time to the first event, in milliseconds; estimated from the open requests alone
    /// while nothing has been measured.
    fn time_ms(&self) -> f64 {
        self.expected_ms.unwrap_or_else(|| cost(self) * UNMEASURED_MS)
    }

    /// Whether it is drawn from among few for the sake of what it holds, as long as late views can't
    /// hide a queue there.
    fn is_preferred(&self) -> bool {
        self.holds_prefix && f64::from(self.active) <= f64::from(self.slots) * MAX_PREFERRED_FILL
    }

    /// Share of its slots that are free. Never 0, so that all of several full ones may be drawn.
    fn room(&self) -> f64 {
        let free = f64::from(self.slots.saturating_sub(self.active));
        if self.slots == 0 { 1.0 } else { free.max(MIN_FREE_SLOTS) / f64::from(self.slots) }
    }
}

/// Cost of leaving this data centre, as a fraction of a full batch: a few milliseconds and the
/// price of the bytes, against a step that slows down as the batch fills.
const REMOTE_COST: f64 = 0.08;
/// Cost of a queued request relative to one in the batch: it waits for another request to end.
const QUEUE_COST: f64 = 2.0;
/// Cost of an upstream that failed recently: it is chosen only if the others are heavily
/// overloaded.
const SUSPECT_COST: f64 = 4.0;

/// Time that a full batch costs while nothing has been measured, in milliseconds.
const UNMEASURED_MS: f64 = 250.0;
/// Free slots that a full upstream counts as having when candidates are drawn.
const MIN_FREE_SLOTS: f64 = 0.25;
/// Difference to the shortest expected time within which a candidate is acceptable, in milliseconds:
/// a quarter of the shortest objective. With a tenth, too few candidates are drawn from while views
/// are late.
const ACCEPTED_MS: f64 = 100.0;
/// The same as a share of the shortest expected time.
const ACCEPTED_SHARE: f64 = 0.5;
/// Speed below which a candidate is taken to be disturbed. Sound engines of the known deployments run
/// at 0.55 of the usual speed or more.
const DISTURBED_SPEED: f64 = 0.5;
/// Share of that difference within which a disturbed candidate is acceptable: late views hide the
/// load of a candidate, not that it is silent.
const DISTURBED_ACCEPTED_SHARE: f64 = 0.2;
/// Share of its slots in use above which a candidate isn't preferred for what it holds.
const MAX_PREFERRED_FILL: f64 = 0.5;
/// Share of the requests that may be sent again which go to a slow candidate, if there is one, so that it is noticed when
/// it is no longer slow.
const PROBE_SHARE: f64 = 0.02;
/// Expected time above which a slow candidate isn't probed, in milliseconds: the request must still
/// have time for another one.
const MAX_PROBE_MS: f64 = 1_500.0;

/// The index of the cheapest candidate that has all that is requested loaded; `draw` is a random
/// number that breaks ties evenly. Candidates slower than their peers cost accordingly more.
pub fn choose_upstream(candidates: &[UpstreamCandidate], draw: u64) -> Option<usize> {
    let count = candidates.len();
    let indexes = (0..count).map(|step| (step + (draw as usize % count.max(1))) % count);
    let able = indexes.filter(|index| candidates[*index].is_usable());
    able.min_by(|left, right| cost(&candidates[*left]).total_cmp(&cost(&candidates[*right])))
}

/// The index of the better of two random candidates among those whose expected times are close to
/// the shortest one; `draw` seeds the choice. One of the candidates that hold a long beginning of the
/// prompt and have room is compared with these two. If `may_probe` is set, the request can be sent
/// again elsewhere; some of such requests go to slow candidates.
///
/// The load that it answers: dozens of instances see the same open requests, which are some hundred
/// milliseconds old, and would all send to the same upstream.
pub fn choose_by_time(
    candidates: &[UpstreamCandidate],
    may_probe: bool,
    draw: u64,
) -> Option<usize> {
    let mut random = SeededRandom::new(draw);
    let times: Vec<(usize, f64)> = usable(candidates).collect();
    let best = times.iter().map(|(_, ms)| *ms).min_by(f64::total_cmp)?;
    let slack = ACCEPTED_MS.max(best * ACCEPTED_SHARE);
    let is_probe = random.next_unit() < PROBE_SHARE && may_probe;
    let slow = times.iter().filter(|(index, ms)| {
        let candidate = &candidates[*index];
        let is_full = candidate.slots > 0 && candidate.active >= candidate.slots;
        is_slow(candidate.speed) && !candidate.is_suspect && !is_full && *ms <= MAX_PROBE_MS
    });
    let slow: Vec<usize> = slow.filter(|_| is_probe).map(|(index, _)| *index).collect();
    if !slow.is_empty() {
        return Some(slow[random.next_below(slow.len())]);
    }
    let is_accepted = |(index, ms): &(usize, f64)| {
        let is_disturbed = candidates[*index].speed < DISTURBED_SPEED;
        let share = if is_disturbed { DISTURBED_ACCEPTED_SHARE } else { 1.0 };
        *ms <= best + slack * share
    };
    let accepted: Vec<(usize, f64)> = times.into_iter().filter(is_accepted).collect();
    let drawn = [0; 2].map(|_| draw_by_room(candidates, &accepted, &mut random));
    let preferred = accepted.iter().filter(|(index, _)| candidates[*index].is_preferred());
    let preferred: Vec<(usize, f64)> = preferred.copied().collect();
    let preferred = draw_by_room(candidates, &preferred, &mut random);
    let compared = drawn.into_iter().flatten().chain(preferred);
    compared.min_by(|left, right| left.1.total_cmp(&right.1)).map(|best| best.0)
}

/// The shortest expected time to the first event among the candidates that may be called, in
/// milliseconds; `None` if there is none or nothing has been measured.
pub fn best_expected_ms(candidates: &[UpstreamCandidate]) -> Option<f64> {
    let usable = candidates.iter().filter(|candidate| candidate.is_usable());
    usable.filter_map(|candidate| candidate.expected_ms).min_by(f64::total_cmp)
}

/// The candidates that may be called, with their expected times.
fn usable(candidates: &[UpstreamCandidate]) -> impl Iterator<Item = (usize, f64)> {
    let indexed = candidates.iter().enumerate().filter(|(_, candidate)| candidate.is_usable());
    indexed.map(|(index, candidate)| (index, candidate.time_ms()))
}

/// One of the `accepted` candidates, with a probability in proportion to its room.
fn draw_by_room(
    candidates: &[UpstreamCandidate],
    accepted: &[(usize, f64)],
    random: &mut SeededRandom,
) -> Option<(usize, f64)> {
    let total: f64 = accepted.iter().map(|(index, _)| candidates[*index].room()).sum();
    let mut left = random.next_unit() * total;
    let drawn = accepted.iter().find(|(index, _)| {
        left -= candidates[*index].room();
        left < 0.0
    });
    drawn.or(accepted.last()).copied()
}

/// Expected cost of sending one more request to the upstream.
fn cost(candidate: &UpstreamCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let depth = f64::from(candidate.active + 1);
    let batch = depth.min(slots) / slots;
    let queue = (depth - slots).max(0.0) / slots;
    let remote = if candidate.is_local { 0.0 } else { REMOTE_COST };
    let suspect = if candidate.is_suspect { SUSPECT_COST } else { 0.0 };
    let load = batch + QUEUE_COST * queue;
    let speed = if is_slow(candidate.speed) { candidate.speed.max(0.01) } else { 1.0 };
    load / speed + remote + suspect
}
