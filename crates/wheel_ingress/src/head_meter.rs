//! Memory for the heads of a connection's requests.

use std::sync::LazyLock;

use parking_lot::Mutex;
use wheel_memory::{BudgetExhausted, ByteBudget, ByteLease, process_budget};

/// Bytes of a head that every connection may hold. Most heads are smaller, so that they are read
/// whatever others send.
const FREE_BYTES: usize = 8 << 10;
/// The part of the process's budget that longer heads may hold, as its divisor.
const HEAD_DIVISOR: usize = 8;

static HEADS: LazyLock<ByteBudget> = LazyLock::new(|| process_budget().part(HEAD_DIVISOR));

/// Counts what is read of a connection while the head of a request is awaited.
pub(crate) struct HeadMeter {
    state: Mutex<MeterState>,
}

struct MeterState {
    lease: ByteLease,
    /// Bytes read of the head that is awaited; `None` during a request.
    head: Option<usize>,
}

impl HeadMeter {
    /// Counts bytes from now on.
    pub(crate) fn begin_head(&self) {
        self.state.lock().head = Some(0);
    }

    /// Records that a head is complete: what follows belongs to its request.
    pub(crate) fn end_head(&self) {
        let mut state = self.state.lock();
        state.head = None;
        // Always possible for less.
        let _ = state.lease.resize(0);
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// [`BudgetExhausted`] if there is no memory for the head.
    pub(crate) fn record_read(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let mut state = self.state.lock();
        let Some(head) = state.head.map(|head| head + bytes) else { return Ok(()) };
        state.head = Some(head);
        match head.saturating_sub(FREE_BYTES) {
            charged if charged > state.lease.bytes() => {
                state.lease.resize(charged).inspect_err(|_| {
                    metrics::counter!("wheel_heads_without_memory_total").increment(1);
                })
            }
            _ => Ok(()),
        }
    }
}

impl Default for HeadMeter {
    fn default() -> Self {
        Self { state: Mutex::new(MeterState { lease: HEADS.lease(), head: Some(0) }) }
    }
}
