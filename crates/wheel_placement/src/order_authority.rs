//! The authority to send orders to engines, which requires confirmed leadership of the replicated
//! log.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use spdlog::info;
use wheel_control::ControlNode;
use wheel_route::ConfigProof;
use wheel_seams::boot_now;
use wheel_types::MonotonicTime;
use wheel_upstream::OrderPermit;

use crate::{AuthorityLedger, AuthorityTimes};

/// Time between two confirmations.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Time limit for a confirmation.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// The authority of this instance to send orders to engines.
///
/// A leader periodically has its leadership confirmed by a majority; [`AuthorityLedger`] derives
/// the authority from these confirmations.
#[derive(Debug)]
pub struct OrderAuthority {
    ledger: Mutex<AuthorityLedger>,
    proof: Arc<ConfigProof>,
}

impl OrderAuthority {
    /// Starts a task that confirms the authority periodically while this instance leads. Each
    /// confirmation proves the own configuration as well, and is recorded in `proof`.
    pub fn spawn(
        times: AuthorityTimes,
        control: ControlNode,
        proof: Arc<ConfigProof>,
    ) -> Arc<Self> {
        let ledger = Mutex::new(AuthorityLedger::new(times));
        let authority = Arc::new(Self { ledger, proof });
        tokio::spawn(Arc::clone(&authority).confirm_loop(control));
        authority
    }

    /// How long a confirmation is valid.
    pub(crate) fn validity(&self) -> Duration {
        self.ledger.lock().validity()
    }

    /// The term, while leadership is confirmed. Orders may not be allowed yet.
    pub fn leading_term(&self) -> Option<u64> {
        self.ledger.lock().leading_term(boot_now())
    }

    /// The fencing number, while this instance may send orders.
    pub fn fencing(&self) -> Option<u64> {
        self.ledger.lock().fencing(boot_now())
    }

    /// Time until orders are allowed, provided that this instance keeps leading.
    pub(crate) fn remaining(&self) -> Duration {
        self.ledger.lock().remaining(boot_now())
    }

    fn confirm(&self, term: u64, requested: MonotonicTime) {
        if self.ledger.lock().confirm(term, requested, boot_now()) {
            info!("directing_term", kv: { term });
        }
    }

    /// Gives up the authority.
    pub fn release(&self) {
        self.ledger.lock().release();
    }

    async fn confirm_loop(self: Arc<Self>, control: ControlNode) {
        loop {
            let requested = boot_now();
            match tokio::time::timeout(CONFIRM_TIMEOUT, control.read()).await {
                Ok(Some(answer)) => {
                    // All that was committed before the request is applied here by now.
                    self.proof.record(requested);
                    self.confirm(answer.term, requested);
                }
                Ok(None) => self.release(),
                Err(_) => {}
            }
            tokio::time::sleep(CONFIRM_INTERVAL).await;
        }
    }
}

/// Permits orders while the authority is held under one fencing number.
#[derive(Debug)]
pub(crate) struct TermPermit {
    pub(crate) authority: Arc<OrderAuthority>,
    pub(crate) fencing: u64,
}

impl OrderPermit for TermPermit {
    fn is_valid(&self) -> bool {
        self.authority.fencing() == Some(self.fencing)
    }
}
