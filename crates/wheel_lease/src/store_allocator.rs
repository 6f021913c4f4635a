//! Allocates the shared pool of the weight store to data centres.

use std::collections::BTreeMap;

use wheel_types::{CentreName, MonotonicTime};

use crate::{LoanRequest, StoreLoan, StoreSettings, StoreShare};

/// Allocates the pool to data centres for a limited time; run by the leader of the replicated log.
///
/// Loans are kept in memory. An allocator that starts, including after a change of leader,
/// allocates nothing until all earlier loans have ended. A loan that was replaced by a smaller one still
/// counts until it ends, because the data centre may still use it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreAllocator {
    settings: StoreSettings,
    ready_at: MonotonicTime,
    loans: BTreeMap<CentreName, Vec<OpenLoan>>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct OpenLoan {
    share: StoreShare,
    ends: MonotonicTime,
}

impl StoreAllocator {
    /// Starts an allocator without any earlier state.
    pub fn open(settings: StoreSettings, now: MonotonicTime) -> Self {
        let ready_at = now + settings.loan_term;
        Self { settings, ready_at, loans: BTreeMap::new() }
    }

    /// Answers a request with what is left in the pool, which may be nothing.
    pub fn allocate(&mut self, now: MonotonicTime, request: &LoanRequest) -> StoreLoan {
        let term = self.settings.loan_term;
        let mut loan = StoreLoan { round: request.round, share: StoreShare::default(), term };
        if now < self.ready_at || !self.settings.centres.contains(&request.centre) {
            return loan;
        }
        self.loans.values_mut().for_each(|loans| loans.retain(|loan| now < loan.ends));
        let others = self.loans.iter().filter(|(centre, _)| **centre != request.centre);
        let others = others
            .map(|(_, loans)| largest_share(loans))
            .fold(StoreShare::default(), StoreShare::plus);
        loan.share = request.wanted.min(self.settings.pool().minus(others));
        self.record(request, OpenLoan { share: loan.share, ends: now + term });
        loan
    }

    fn record(&mut self, request: &LoanRequest, loan: OpenLoan) {
        let loans = self.loans.entry(request.centre.clone()).or_default();
        if loans.len() >= MAX_LOANS {
            let share = largest_share(loans);
            *loans = vec![OpenLoan { share: share.max(loan.share), ends: loan.ends }];
        }
        loans.push(loan);
    }
}

/// Loans of one data centre that are tracked separately; beyond that they are merged into one.
const MAX_LOANS: usize = 8;

fn largest_share(loans: &[OpenLoan]) -> StoreShare {
    loans.iter().map(|loan| loan.share).fold(StoreShare::default(), StoreShare::max)
}
