//! How long the steps of a call may take.

use std::time::Duration;

/// Timeouts of one call. Each is the longest time without progress in that step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTimeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From sending the call to the head of the answer, and from there to its first piece.
    pub first_byte: Duration,
    /// Between two pieces of the answer.
    pub progress: Duration,
    /// The whole call; `None` for no limit beside the steps'.
    pub total: Option<Duration>,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(10),
            progress: Duration::from_secs(5),
            total: None,
        }
    }
}

impl CallTimeouts {
    /// Sets the time for opening a connection.
    pub fn connect(mut self, connect: Duration) -> Self {
        self.connect = connect;
        self
    }

    /// Sets the time until the head of the answer.
    pub fn first_byte(mut self, first_byte: Duration) -> Self {
        self.first_byte = first_byte;
        self
    }

    /// Sets the time between two pieces of the answer.
    pub fn progress(mut self, progress: Duration) -> Self {
        self.progress = progress;
        self
    }

    /// Sets the time for the whole call.
    pub fn total(mut self, total: Duration) -> Self {
        self.total = Some(total);
        self
    }
}
