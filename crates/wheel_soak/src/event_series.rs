//! The numbers of a stream's events.

/// Ids of the events of a body, in their order; what ends in the middle of an event leaves that out.
#[derive(Debug)]
pub(crate) struct EventSeries {
    ids: Vec<u64>,
}

impl EventSeries {
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

    /// What is wrong if each event should come once, in order, from `first` on.
    pub(crate) fn fault(&self, first: u64) -> Option<String> {
        let pairs = self.ids.iter().zip(first..);
        let (found, due) = pairs.into_iter().find(|(found, due)| *found != due)?;
        Some(format!("got event {found} where event {due} was due"))
    }
}
