//! What logs tell of one request.

use jiff::{SignedDuration, Timestamp};

/// Time before a request's end within which decisions on its model and its surroundings belong to it.
const STORY_SPAN: SignedDuration = SignedDuration::from_secs(20);
/// Events that belong to a request if they name its model or its upstreams.
const NAMED_EVENTS: [&str; 3] = ["order_sent", "placement_backlog", "report_lost"];
/// Events of the surroundings that count whatever they name.
const UNNAMED_EVENTS: [&str; 9] = [
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

/// The lines of one request, and those that explain them.
///
/// ```
/// use wheel_ctl::RequestStory;
///
/// let log = "time=2026-01-01T00:00:00.5+00:00 level=info event=request_ended id=x status=503 reason=late";
/// let story = RequestStory::read("x", log.lines());
/// assert_eq!(story.verdict(), Some("status=503 reason=late upstream=- model=-".to_owned()));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestStory {
    /// The request's own lines.
    pub own: Vec<String>,
    /// Lines on its model, its upstreams and its surroundings, before its end.
    pub context: Vec<String>,
}

impl RequestStory {
    /// Collects what `lines` tell of the request `id`. They may come from several processes, in any order.
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
        let mut context: Vec<&str> = lines.filter(|line| explains(line, end, &names)).collect();
        context.sort_by_key(|line| field(line, "time").map(ToOwned::to_owned));
        let owned = |lines: Vec<&str>| lines.into_iter().map(ToOwned::to_owned).collect();
        Self { own: owned(own), context: owned(context) }
    }

    /// How the request ended, in the words of its last line.
    pub fn verdict(&self) -> Option<String> {
        let ended = |line: &&String| {
            matches!(
                field(line, "event"),
                Some("request_ended" | "request_refused" | "request_unrouted")
            )
        };
        let last = self.own.iter().rfind(ended)?;
        let word = |name| field(last, name).unwrap_or("-");
        Some(format!(
            "status={} reason={} upstream={} model={}",
            word("status"),
            word("reason"),
            word("upstream"),
            word("model")
        ))
    }
}

/// The value of a field of a line of key=value pairs.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.trim_matches('"'))
}

fn time_of(line: &str) -> Option<Timestamp> {
    field(line, "time")?.parse().ok()
}

fn explains(line: &str, end: Timestamp, names: &[&str]) -> bool {
    let event = field(line, "event").unwrap_or_default();
    let is_named = || names.iter().any(|name| line.contains(name));
    let belongs = UNNAMED_EVENTS.contains(&event) || NAMED_EVENTS.contains(&event) && is_named();
    let Some(time) = time_of(line).filter(|_| belongs) else { return false };
    time <= end && end.duration_since(time) <= STORY_SPAN
}
