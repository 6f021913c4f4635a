//! The event ids of a stream.

/// The event ids of a body in order. A truncated event at the end is left out.
#[derive(Debug)]
pub(crate) struct EventSequence {
    ids: Vec<u64>,
}

impl EventSequence {
    pub(crate) fn read(body: &[u8]) -> Self {
        let text = String::from_utf8_lossy(body);
        let mut events: Vec<&str> = text.split("\n\n").collect();
        events.pop();
        let id_of = |event: &str| {
            let line = event.lines().find_map(|line| line.strip_prefix("id:"))?;
            line.trim().parse().ok()
        };
        Self { ids: events.into_iter().filter_map(id_of).collect() }
    }

    /// Describes the first deviation from a sequence without gaps or repeats that starts at `first`.
    pub(crate) fn order_error(&self, first: u64) -> Option<String> {
        let pairs = self.ids.iter().zip(first..);
        let (found, due) = pairs.into_iter().find(|(found, due)| *found != due)?;
        Some(format!("got event {found} where event {due} was expected"))
    }
}
