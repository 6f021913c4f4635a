//! Watches an upstream for silence while a request waits for it.

use std::time::Duration;

use metrics::counter;
use tokio::time::{Instant, sleep_until};
use wheel_route::EngineInfo;
use wheel_upstream::ArrivalClock;

use crate::send_ledger::SendLedger;
use crate::wait_guard::WaitGuard;

/// Waits for steps of one upstream, which may fall silent and go on.
///
/// A silence longer than `limit` doesn't end the step by itself: the request only leaves for another
/// upstream that can serve it at once.
pub(crate) struct StallWatch<'a> {
    ledger: &'a SendLedger,
    /// Time without bytes after which another upstream is looked for.
    limit: Duration,
    /// When bytes of the answer arrived; `None` until its head has.
    arrivals: Option<ArrivalClock>,
}

impl<'a> StallWatch<'a> {
    /// Watches the present upstream of a request; `has_begun` is whether its body has.
    pub(crate) fn begin(
        ledger: &'a SendLedger,
        arrivals: Option<ArrivalClock>,
        has_begun: bool,
    ) -> Self {
        let left = ledger.arrived.deadline.saturating_duration_since(Instant::now());
        Self { ledger, limit: ledger.silence_limit(left, has_begun), arrivals }
    }

    /// Waits for `step`.
    ///
    /// # Errors
    /// The upstream for which the request leaves; `step` has been dropped, and a retry was spent.
    pub(crate) async fn wait<F: Future>(self, step: F) -> Result<F::Output, EngineInfo> {
        let began = Instant::now();
        let mut views = self.ledger.watch_view();
        views.mark_unchanged();
        let mut look_at = began + self.limit;
        let mut waiting: Option<Option<WaitGuard>> = None;
        tokio::pin!(step);
        loop {
            tokio::select! {
                biased;
                output = &mut step => return Ok(output),
                () = sleep_until(look_at) => {}
                _ = views.changed(), if waiting.is_some() => {}
            }
            let last = self.arrivals.as_ref().map_or(began, |arrivals| arrivals.last().max(began));
            let silence = last.elapsed();
            if silence < self.limit {
                waiting = None;
                look_at = last + self.limit;
                continue;
            }
            look_at = Instant::now() + self.limit;
            let reason = match self.ledger.find_replacement() {
                Ok(info) => {
                    self.record("left", silence, &format!("next {}", info.id.name));
                    return Err(info);
                }
                Err(reason) => reason,
            };
            if waiting.is_none() {
                self.record("kept", silence, reason.as_str());
                waiting = Some(self.ledger.begin_wait());
            }
        }
    }

    fn record(&self, outcome: &'static str, silence: Duration, cause: &str) {
        counter!("wheel_upstream_silences_total", "outcome" => outcome).increment(1);
        let inputs = format!("{outcome}, silent_ms {}, {cause}", silence.as_millis());
        self.ledger.log.step("upstream_silent", &inputs);
    }
}
