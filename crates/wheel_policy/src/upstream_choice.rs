//! Which upstream a request goes to, where each entry sends by itself.

/// What an upstream holds of what a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldPart {
    /// All of it.
    Whole,
    /// The model, but not the adapter.
    ModelOnly,
    /// Not the model.
    Nothing,
}

/// One upstream as a candidate for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamOffer {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests under way there, from all instances as far as known.
    pub active: u32,
    /// Whether it stands in the own data centre.
    pub is_near: bool,
    /// What it holds.
    pub held: HeldPart,
    /// Whether it failed lately.
    pub is_suspect: bool,
    /// Whether it couldn't be reached lately; it isn't taken then.
    pub is_unreachable: bool,
    /// Whether this request was there before.
    pub was_tried: bool,
    /// Share of the prompt that it probably has in memory, 0 to 1.
    pub cached_share: f64,
}

/// Cost of leaving the own data centre, in shares of a full batch: a few milliseconds and the price of the
/// bytes, against a step that slows as the batch fills.
const FAR_COST: f64 = 0.08;
/// What a prompt in memory saves, in the same unit.
const CACHED_GAIN: f64 = 0.25;
/// Cost of a place in the queue, relative to one in the batch: a queued request waits for another's end.
const QUEUE_COST: f64 = 2.0;
/// Cost of an upstream that failed lately: taken only where the others are far over full.
const SUSPECT_COST: f64 = 4.0;

/// The place of the best offer that holds all that is asked for; `draw` settles ties evenly.
pub fn choose_upstream(offers: &[UpstreamOffer], draw: u64) -> Option<usize> {
    let able = |offer: &UpstreamOffer| {
        offer.held == HeldPart::Whole && !offer.was_tried && !offer.is_unreachable
    };
    let count = offers.len();
    let places = (0..count).map(|step| (step + (draw as usize % count.max(1))) % count);
    let able = places.filter(|place| able(&offers[*place]));
    able.min_by(|left, right| cost(&offers[*left]).total_cmp(&cost(&offers[*right])))
}

/// Expected cost of sending one more request there.
fn cost(offer: &UpstreamOffer) -> f64 {
    let slots = f64::from(offer.slots.max(1));
    let depth = f64::from(offer.active + 1);
    let batch = depth.min(slots) / slots;
    let queue = (depth - slots).max(0.0) / slots;
    let far = if offer.is_near { 0.0 } else { FAR_COST };
    let suspect = if offer.is_suspect { SUSPECT_COST } else { 0.0 };
    batch + QUEUE_COST * queue + far + suspect - CACHED_GAIN * offer.cached_share
}
