//! The fields of an event.

use crate::IngressDialect;

/// Fields of `text/event-stream`; a line without a name is a comment.
const STREAM_FIELDS: [&str; 5] = ["", "id", "data", "event", "retry"];

/// What the lines of an event hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct EventFields {
    /// Whether it is more than a comment or a setting of the stream.
    pub(crate) has_data: bool,
}

impl EventFields {
    /// Reads the lines of an event.
    ///
    /// # Errors
    /// Why the bytes aren't an event.
    pub(crate) fn read(event: &[u8], dialect: &dyn IngressDialect) -> Result<Self, &'static str> {
        let mut fields = Self::default();
        let mut ids = 0;
        let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
        for line in lines.filter(|line| !line.is_empty()) {
            let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
            match std::str::from_utf8(name) {
                Ok("data") => fields.has_data = true,
                Ok("id") => ids += 1,
                Ok(name) if STREAM_FIELDS.contains(&name) || dialect.is_event_field(name) => {}
                _ => return Err("a line is no field of an event"),
            }
        }
        match ids {
            0 => Ok(fields),
            // Where a stream goes on follows from ids, so that one must name an event that came.
            1 if !fields.has_data => Err("an id has no event"),
            1 => Ok(fields),
            _ => Err("an event has several ids"),
        }
    }
}
