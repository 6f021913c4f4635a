//! A request's wait for a load of its model, or for upstreams that keep it away.

use std::time::Duration;

use tokio::time::Instant;

use crate::blocked_time::BlockedTime;
use crate::no_upstream::NoUpstream;
use crate::upstream_search::{CAPACITY_RETRY, MIN_ANSWER_TIME, REPORT_WAIT, UpstreamSearch};

/// Age of the fleet view above which no load can be expected.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_500);
/// `Retry-After` of such a refusal: the partition may be over, and a retry may reach another
/// ingress instance.
const STALE_VIEW_RETRY: Duration = Duration::from_secs(1);

/// The wait of one request, with what is known of its end.
pub(crate) struct LoadWait<'a> {
    pub(crate) search: &'a UpstreamSearch<'a>,
    /// The time until the first load of the model ends, if one is reported.
    pub(crate) load: Option<Duration>,
    pub(crate) blocked: BlockedTime,
    /// When a load has to be reported at the latest.
    pub(crate) report_deadline: Instant,
}

impl LoadWait<'_> {
    /// When to stop waiting; an error if a wait is pointless.
    pub(crate) fn end(&self) -> Result<Instant, NoUpstream> {
        let Self { search, load, blocked, report_deadline } = *self;
        let now = Instant::now();
        let eta = load.into_iter().chain(blocked.shortest()).min();
        let deadline = search.context.drain.bound(search.deadline);
        let is_draining = deadline < search.deadline;
        let left = deadline.saturating_duration_since(now);
        match eta {
            Some(eta) if eta + MIN_ANSWER_TIME <= left => {
                Ok(deadline.min(now + eta + REPORT_WAIT[0]))
            }
            Some(eta) => {
                let reason = match load {
                    _ if is_draining => "draining",
                    None => blocked.reason().unwrap_or_default(),
                    Some(_) => "load_too_late",
                };
                Err(NoUpstream { reason, retry_after: eta, eta: Some(eta) })
            }
            None if left <= MIN_ANSWER_TIME => Err(NoUpstream::new("no_time_left", CAPACITY_RETRY)),
            // Nothing is known to become available, and the caller can resume at another instance.
            None if is_draining && search.is_resumption => {
                Err(NoUpstream::new("draining", CAPACITY_RETRY))
            }
            // Syncs don't reach the control plane, so it won't order a load for this request.
            None if search.context.state.view_age() > MAX_VIEW_AGE => {
                Err(NoUpstream::new("control_unheard", STALE_VIEW_RETRY))
            }
            None if now >= report_deadline => {
                Err(NoUpstream::new("load_not_begun", CAPACITY_RETRY))
            }
            None => Ok(report_deadline.min(deadline)),
        }
    }
}
