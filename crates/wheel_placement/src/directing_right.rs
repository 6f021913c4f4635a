//! The right to order engines, which goes with a confirmed leadership of the replicated log.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use wheel_control::ControlNode;
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;
use wheel_upstream::OrderPermit;

use crate::{RightLedger, RightTimes};

/// Time between two confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Time that a confirmation may take.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// The right of this instance to order engines.
///
/// A leader asks a majority again and again to confirm it; what follows from that is in [`RightLedger`].
#[derive(Debug)]
pub struct DirectingRight {
    ledger: Mutex<RightLedger>,
}

impl DirectingRight {
    /// Starts to have the right confirmed whenever this instance leads.
    pub fn spawn(times: RightTimes, control: ControlNode) -> Arc<Self> {
        let right = Arc::new(Self { ledger: Mutex::new(RightLedger::new(times)) });
        tokio::spawn(Arc::clone(&right).confirm_loop(control));
        right
    }

    /// How long a confirmation carries.
    pub(crate) fn span(&self) -> Duration {
        self.ledger.lock().span()
    }

    /// The term, while this instance leads for sure; it may not be allowed to order yet.
    pub fn leading_term(&self) -> Option<u64> {
        self.ledger.lock().leading_term(boot_now())
    }

    /// The fencing number, while this instance may order.
    pub fn fencing(&self) -> Option<u64> {
        self.ledger.lock().fencing(boot_now())
    }

    /// How long until orders are allowed, as far as this instance goes on leading.
    pub(crate) fn remaining(&self) -> Duration {
        self.ledger.lock().remaining(boot_now())
    }

    fn confirm(&self, term: u64, asked: MonotonicTime) {
        if self.ledger.lock().confirm(term, asked, boot_now()) {
            info!("directing_term", kv: { term });
        }
    }

    /// Gives the right up.
    pub fn release(&self) {
        self.ledger.lock().release();
    }

    async fn confirm_loop(self: Arc<Self>, control: ControlNode) {
        loop {
            let asked = boot_now();
            match tokio::time::timeout(CONFIRM_TIMEOUT, control.read()).await {
                Ok(Some(answer)) => self.confirm(answer.term, asked),
                Ok(None) => self.release(),
                Err(_) => {}
            }
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }
}

/// The permit of orders under one fencing number.
#[derive(Debug)]
pub(crate) struct TermPermit {
    pub(crate) right: Arc<DirectingRight>,
    pub(crate) fencing: u64,
}

impl OrderPermit for TermPermit {
    fn valid(&self) -> bool {
        self.right.fencing() == Some(self.fencing)
    }
}
