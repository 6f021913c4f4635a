//! Timeouts of the steps of a call.

use std::time::Duration;

/// Timeouts of one call. Apart from the total, each is the longest time without progress in its
/// step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTimeouts {
    /// Opening a connection.
    pub connect: Duration,
    /// From sending the call to the head of the answer, and from the head to the first piece of the
    /// body.
    pub first_byte: Duration,
    /// Between two pieces of the answer.
    pub progress: Duration,
    /// Silence after which the connection is suspected to be dead: idle ones that are as old aren't
    /// used, and the call goes on; `None` to suspect it only when a step's timeout passes.
    pub suspicion: Option<Duration>,
    /// The whole call; `None` for no limit beyond those of the steps.
    pub total: Option<Duration>,
}

impl Default for CallTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            first_byte: Duration::from_secs(10),
            progress: Duration::from_secs(5),
            suspicion: None,
            total: None,
        }
    }
}

impl CallTimeouts {
    /// Sets the timeout for opening a connection.
    pub fn connect(mut self, connect: Duration) -> Self {
        self.connect = connect;
        self
    }

    /// Sets the timeout for the head of the answer, and again for the first piece of its body.
    pub fn first_byte(mut self, first_byte: Duration) -> Self {
        self.first_byte = first_byte;
        self
    }

    /// Sets the longest time between two pieces of the answer.
    pub fn progress(mut self, progress: Duration) -> Self {
        self.progress = progress;
        self
    }

    /// Sets the silence after which the connection is suspected to be dead. The call doesn't end
    /// sooner because its connection is retired.
    pub fn suspicion(mut self, suspicion: Duration) -> Self {
        self.suspicion = Some(suspicion);
        self
    }

    /// Sets the timeout for the whole call.
    pub fn total(mut self, total: Duration) -> Self {
        self.total = Some(total);
        self
    }
}
