//! The log lines of one request.

use jiff::{SignedDuration, Timestamp};

/// Context lines of a request are at most this much older than its end.
const CONTEXT_WINDOW: SignedDuration = SignedDuration::from_secs(20);
/// Events that belong to a request's context if they name its model or one of its upstreams.
const NAMED_EVENTS: [&str; 3] = ["order_sent", "placement_backlog", "report_lost"];
/// Events of the instances and their dependencies that belong to any request's context.
const GENERAL_EVENTS: [&str; 9] = [
    "directing_began",
    "directing_ended",
    "control_lost",
    "control_regained",
    "list_lost",
    "list_regained",
    "config_in_force",
    "instance_started",
    "drain_started",
];

/// The log lines of one request, and those of events that may explain its outcome.
///
/// ```
/// use wheel_ctl::RequestTimeline;
///
/// let log = "time=2026-01-01T00:00:00.5+00:00 level=info event=request_ended id=x status=503 reason=late";
/// let timeline = RequestTimeline::read("x", log.lines());
/// assert_eq!(timeline.outcome(), Some("status=503 reason=late upstream=- model=-".to_owned()));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestTimeline {
    /// The request's own lines.
    pub own: Vec<String>,
    /// Lines of events of its model, its upstreams and the instances shortly before its end.
    pub context: Vec<String>,
}

impl RequestTimeline {
    /// Collects the lines of the request `id` and their context. `lines` may come from several
    /// processes, in any order.
    pub fn read<'a>(id: &str, lines: impl Iterator<Item = &'a str> + Clone) -> Self {
        let mut own: Vec<&str> =
            lines.clone().filter(|line| field(line, "id") == Some(id)).collect();
        own.sort_by_key(|line| field(line, "time").map(ToOwned::to_owned));
        let Some(end) = own.last().and_then(|line| time_of(line)) else { return Self::default() };
        let names: Vec<&str> = own
            .iter()
            .flat_map(|line| [field(line, "model"), field(line, "upstream")])
            .flatten()
            .map(|name| name.split('/').next().unwrap_or(name))
            .filter(|name| *name != "-")
            .collect();
        let mut context: Vec<&str> = lines.filter(|line| is_context(line, end, &names)).collect();
        context.sort_by_key(|line| field(line, "time").map(ToOwned::to_owned));
        let to_owned = |lines: Vec<&str>| lines.into_iter().map(ToOwned::to_owned).collect();
        Self { own: to_owned(own), context: to_owned(context) }
    }

    /// The status, reason, upstream and model from the line with which the request ended.
    pub fn outcome(&self) -> Option<String> {
        let is_end = |line: &&String| {
            matches!(
                field(line, "event"),
                Some("request_ended" | "request_refused" | "request_unrouted")
            )
        };
        let last = self.own.iter().rfind(is_end)?;
        let value = |name| field(last, name).unwrap_or("-");
        Some(format!(
            "status={} reason={} upstream={} model={}",
            value("status"),
            value("reason"),
            value("upstream"),
            value("model")
        ))
    }
}

/// The value of a key in a line of key=value pairs.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.trim_matches('"'))
}

fn time_of(line: &str) -> Option<Timestamp> {
    field(line, "time")?.parse().ok()
}

fn is_context(line: &str, end: Timestamp, names: &[&str]) -> bool {
    let event = field(line, "event").unwrap_or_default();
    let is_named = || names.iter().any(|name| line.contains(name));
    let belongs = GENERAL_EVENTS.contains(&event) || NAMED_EVENTS.contains(&event) && is_named();
    let Some(time) = time_of(line).filter(|_| belongs) else { return false };
    time <= end && end.duration_since(time) <= CONTEXT_WINDOW
}
