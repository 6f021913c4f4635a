//! Watches an upstream for silence while a request waits for it.

use std::time::Duration;

use metrics::counter;
use tokio::time::{Instant, sleep_until};
use wheel_route::EngineInfo;
use wheel_upstream::ArrivalClock;

use crate::request_run::RequestRun;
use crate::wait_guard::WaitGuard;

/// Waits for steps of one upstream, which may fall silent and go on.
///
/// A silence longer than `limit` doesn't end the step by itself: the request only leaves for another
/// upstream that can serve it at once.
pub(crate) struct StallWatch<'a> {
    pub(crate) run: &'a RequestRun,
    /// Time without bytes after which another upstream is looked for.
    pub(crate) limit: Duration,
    /// When bytes of the answer arrived; `None` until its head has.
    pub(crate) arrivals: Option<ArrivalClock>,
}

impl StallWatch<'_> {
    /// Waits for `step`.
    ///
    /// # Errors
    /// The upstream for which the request leaves; `step` has been dropped, and a retry was spent.
    pub(crate) async fn wait<F: Future>(self, step: F) -> Result<F::Output, EngineInfo> {
        let began = Instant::now();
        let mut views = self.run.watch_view();
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
            let reason = match self.run.find_replacement() {
                Ok(info) => {
                    self.record("left", silence, &format!("next {}", info.id.name));
                    return Err(info);
                }
                Err(reason) => reason,
            };
            if waiting.is_none() {
                self.record("kept", silence, reason.as_str());
                waiting = Some(self.run.begin_wait());
            }
        }
    }

    fn record(&self, outcome: &'static str, silence: Duration, cause: &str) {
        counter!("wheel_upstream_silences_total", "outcome" => outcome).increment(1);
        let inputs = format!("{outcome}, silent_ms {}, {cause}", silence.as_millis());
        self.run.log.step("upstream_silent", &inputs);
    }
}
