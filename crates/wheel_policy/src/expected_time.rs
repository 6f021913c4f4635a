//! The time after which an upstream is expected to send the first event of a request.

use wheel_route::{EngineSpeed, ServiceRates};

/// Time to reach another data centre and to return, with what the bytes between data centres cost;
/// the slowest link of the known deployments needs 7 ms for a round trip.
const REMOTE_MS: f64 = 8.0;
/// Cost of an upstream that failed recently. It is chosen only if a request would wait longer at all
/// others.
const SUSPECT_MS: f64 = 2_000.0;
/// Growth of the time to the first event from an empty batch to a full one: prompts of the batch are
/// read in turn, and a step takes longer.
const BATCH_GROWTH: f64 = 1.0;
/// How much longer a request waits for token memory than for the slots that release as many tokens:
/// an engine without free memory preempts requests and starts them again.
const MEMORY_GROWTH: f64 = 2.0;
/// Speed below which an upstream counts as slow. Only upstreams that need more than a fifth longer
/// than their peers are listed as slower, with 0.85 or less.
const SLOW_SPEED: f64 = 0.9;

/// Lowest speed that is calculated with.
const MIN_SPEED: f64 = 0.01;

/// A request, and the load of the upstream that it may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLoad {
    /// Requests that it serves at once; 0 if unknown.
    pub slots: u32,
    /// Requests in progress there, from all instances as far as known.
    pub active: u32,
    /// Prompt tokens of these requests.
    pub open_tokens: u64,
    /// Tokens that its memory holds; 0 if unknown.
    pub kv_tokens: u64,
    /// Its speed relative to the usual one of its service; 1 if unknown.
    pub speed: f64,
    /// Tokens of the request's prompt.
    pub prompt_tokens: u64,
    /// Those of them that it probably holds.
    pub held_tokens: u64,
    /// Whether it is in this data centre.
    pub is_local: bool,
    /// Whether it failed recently.
    pub is_suspect: bool,
}

impl EngineLoad {
    /// Tokens of the prompt that it has to read. An upstream at which the request has to queue, or
    /// whose memory is full, may have evicted what it held by the time the request begins.
    pub fn unread_tokens(&self) -> u64 {
        let held = if !self.has_slot() || self.missing_tokens() > 0 { 0 } else { self.held_tokens };
        self.prompt_tokens.saturating_sub(held)
    }

    /// Whether a request finds a free slot.
    pub fn has_slot(&self) -> bool {
        self.slots == 0 || self.active < self.slots
    }

    /// How much longer it takes until the first event than an idle upstream of the usual speed.
    pub fn stretch(&self) -> f64 {
        let fill =
            if self.slots == 0 { 0.0 } else { f64::from(self.active) / f64::from(self.slots) };
        (1.0 + BATCH_GROWTH * fill.min(1.0)) / self.speed.max(MIN_SPEED)
    }

    /// Tokens by which its memory would overflow with the request.
    fn missing_tokens(&self) -> u64 {
        match self.kv_tokens {
            0 => 0,
            kv_tokens => (self.open_tokens + self.prompt_tokens).saturating_sub(kv_tokens),
        }
    }

    /// The expected time from sending the request to its first event, in milliseconds, with the
    /// rates of the upstream's service.
    ///
    /// It is the sum of the time to read the prompt, the wait for a slot, and the wait for token
    /// memory, all at the upstream's speed, and of the costs of distance and of recent failures.
    pub fn first_event_ms(&self, rates: &ServiceRates) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let depth = f64::from(self.active + 1);
        let reading = self.unread_tokens() as f64 * f64::from(rates.token_ms);
        let begun = (f64::from(rates.first_ms) + reading) * self.stretch();
        let serve_ms = f64::from(rates.serve_ms);
        let queued = if self.slots == 0 { 0.0 } else { (depth - slots).max(0.0) };
        let slot_wait = queued * serve_ms / slots;
        let missing = self.missing_tokens() as f64 / self.kv_tokens.max(1) as f64;
        let memory_wait = missing * serve_ms * MEMORY_GROWTH;
        let remote = if self.is_local { 0.0 } else { REMOTE_MS };
        let suspect = if self.is_suspect { SUSPECT_MS } else { 0.0 };
        begun + (slot_wait + memory_wait) / self.speed.max(MIN_SPEED) + remote + suspect
    }
}

/// Whether a speed is measurably below that of the upstream's peers.
pub fn is_slow(speed: f64) -> bool {
    speed < SLOW_SPEED
}

/// A listed speed relative to the usual one.
pub fn relative_speed(percent: u16) -> f64 {
    f64::from(percent) / f64::from(EngineSpeed::USUAL_PERCENT)
}
