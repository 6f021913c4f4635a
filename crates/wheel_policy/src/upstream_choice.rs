//! Chooses the upstream for a request where each ingress sends requests itself.

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
    /// Share of the prompt that is probably in its cache, 0 to 1.
    pub cached_share: f64,
}

/// Cost of leaving this data centre, as a fraction of a full batch: a few milliseconds and the
/// price of the bytes, against a step that slows down as the batch fills.
const REMOTE_COST: f64 = 0.08;
/// Saving of a cached prompt, in the same unit.
const CACHED_GAIN: f64 = 0.25;
/// Cost of a queued request relative to one in the batch: it waits for another request to end.
const QUEUE_COST: f64 = 2.0;
/// Cost of an upstream that failed recently: it is chosen only if the others are heavily
/// overloaded.
const SUSPECT_COST: f64 = 4.0;

/// The index of the cheapest candidate that has all that is requested loaded; `draw` is a random
/// number that breaks ties evenly.
pub fn choose_upstream(candidates: &[UpstreamCandidate], draw: u64) -> Option<usize> {
    let able = |candidate: &UpstreamCandidate| {
        candidate.residency == ModelResidency::Full
            && !candidate.was_tried
            && !candidate.is_unreachable
            && !candidate.is_blocked
    };
    let count = candidates.len();
    let indexes = (0..count).map(|step| (step + (draw as usize % count.max(1))) % count);
    let able = indexes.filter(|index| able(&candidates[*index]));
    able.min_by(|left, right| cost(&candidates[*left]).total_cmp(&cost(&candidates[*right])))
}

/// Expected cost of sending one more request to the upstream.
fn cost(candidate: &UpstreamCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let depth = f64::from(candidate.active + 1);
    let batch = depth.min(slots) / slots;
    let queue = (depth - slots).max(0.0) / slots;
    let remote = if candidate.is_local { 0.0 } else { REMOTE_COST };
    let suspect = if candidate.is_suspect { SUSPECT_COST } else { 0.0 };
    batch + QUEUE_COST * queue + remote + suspect - CACHED_GAIN * candidate.cached_share
}
