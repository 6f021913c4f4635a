//! The events of a stream.

/// The events of a body in order. A truncated event at the end is left out.
#[derive(Debug)]
pub(crate) struct EventSequence {
    /// For each event its id, or its text if it isn't one that an upstream makes.
    events: Vec<Result<u64, String>>,
}

impl EventSequence {
    pub(crate) fn read(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body).replace("\r\n", "\n");
        let mut events: Vec<&str> = text.split("\n\n").collect();
        events.pop();
        Self {
            events: events.into_iter().map(|event| event_id(event).ok_or(event.into())).collect(),
        }
    }

    /// Number of events.
    pub(crate) fn len(&self) -> u64 {
        self.events.len() as u64
    }

    /// Describes the first deviation from a sequence without gaps or repeats that starts at `first`,
    /// with nothing between its events.
    pub(crate) fn order_error(&self, first: u64) -> Option<String> {
        let mut pairs = self.events.iter().zip(first..);
        pairs.find_map(|(found, due)| match found {
            Ok(found) if *found == due => None,
            Ok(found) => Some(format!("got event {found} where event {due} was expected")),
            Err(text) => Some(format!("got {text:?} where event {due} was expected")),
        })
    }
}

/// The id of an event that consists of its id and its data.
fn event_id(event: &str) -> Option<u64> {
    let (id, data) = event.split_once('\n')?;
    let is_data = data.lines().all(|line| line.starts_with("data:"));
    id.strip_prefix("id:").filter(|_| is_data)?.trim().parse().ok()
}
