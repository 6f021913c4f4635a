//! Measured speeds of upstreams, and the sums from which they are computed.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::EngineId;

/// An upstream whose speed differs from that of the others of its service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineSpeed {
    /// The upstream.
    pub engine: EngineId,
    /// Its speed, in percent of the usual speed of its service.
    pub percent: u16,
}

impl EngineSpeed {
    /// The speed of upstreams that aren't listed.
    pub const USUAL_PERCENT: u16 = 100;
}

/// Durations that are usual at a service's upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceRates {
    /// The service.
    pub service: Arc<str>,
    /// Time to the first event of a request without a prompt, in milliseconds.
    pub first_ms: f32,
    /// Time per token of a prompt that has to be read, in milliseconds.
    pub token_ms: f32,
    /// Time between two events of a stream, in milliseconds; 0 if it isn't known.
    pub pause_ms: f32,
    /// Time for which a request occupies a slot, in milliseconds.
    pub serve_ms: f32,
}

/// What an instance measured at one upstream since its last report, as sums.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpeedReport {
    /// The upstream.
    pub engine: EngineId,
    /// Its service.
    pub service: Arc<str>,
    /// Requests whose first event came or is overdue.
    pub waits: u32,
    /// Those of them whose first event took much longer than expected.
    pub late_waits: u32,
    /// Sum over these of the natural logarithm of the time that they took relative to the expected
    /// one.
    pub late_log: f32,
    /// Pauses between events.
    pub pauses: u32,
    /// Sum of these pauses, in milliseconds.
    pub pause_ms: f32,
}

/// What an instance measured at one service since its last report, as sums over requests that found
/// a free slot. Times are in milliseconds and converted to the usual speed.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RateReport {
    /// The service.
    pub service: Arc<str>,
    /// Requests whose first event came.
    pub firsts: f32,
    /// Sum of the times to their first events.
    pub first_ms: f32,
    /// Sum of the prompt tokens that they had to have read, in thousands.
    pub kilotokens: f32,
    /// Sum of the squares of these.
    pub kilotokens_squared: f32,
    /// Sum of the products of these and the times.
    pub kilotokens_ms: f32,
    /// Requests that ended.
    pub serves: f32,
    /// Sum of the times for which they occupied a slot.
    pub serve_ms: f32,
}

impl SpeedReport {
    /// Adds the sums of another report about the same upstream.
    pub fn merge(&mut self, other: &Self) {
        self.waits = self.waits.saturating_add(other.waits);
        self.late_waits = self.late_waits.saturating_add(other.late_waits);
        self.late_log += other.late_log;
        self.pauses = self.pauses.saturating_add(other.pauses);
        self.pause_ms += other.pause_ms;
    }

    /// A report without measurements.
    pub fn new(engine: EngineId, service: Arc<str>) -> Self {
        let (late_log, pause_ms) = (0.0, 0.0);
        Self { engine, service, waits: 0, late_waits: 0, late_log, pauses: 0, pause_ms }
    }
}

impl RateReport {
    /// Adds the sums of another report about the same service.
    pub fn merge(&mut self, other: &Self) {
        self.firsts += other.firsts;
        self.first_ms += other.first_ms;
        self.kilotokens += other.kilotokens;
        self.kilotokens_squared += other.kilotokens_squared;
        self.kilotokens_ms += other.kilotokens_ms;
        self.serves += other.serves;
        self.serve_ms += other.serve_ms;
    }

    /// Multiplies all sums, so that later measurements count more.
    pub fn scale(&mut self, factor: f32) {
        for sum in [
            &mut self.firsts,
            &mut self.first_ms,
            &mut self.kilotokens,
            &mut self.kilotokens_squared,
            &mut self.kilotokens_ms,
            &mut self.serves,
            &mut self.serve_ms,
        ] {
            *sum *= factor;
        }
    }
}
