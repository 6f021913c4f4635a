//! Lends the store's pool.

use std::collections::BTreeMap;

use wheel_types::{CentreName, MonotonicTime};

use crate::{LoanRequest, StoreLoan, StoreSettings, StoreShare};

/// Lends the pool to data centres for a time; run by the leader of the replicated log.
///
/// Loans are kept in memory. A lender that starts, also on a change of leader, lends nothing until
/// all earlier loans have ended. What a data centre may still use counts until its time is over,
/// also if a smaller loan has replaced it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StoreLender {
    settings: StoreSettings,
    ready_at: MonotonicTime,
    loans: BTreeMap<CentreName, Vec<OpenLoan>>,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct OpenLoan {
    share: StoreShare,
    ends: MonotonicTime,
}

impl StoreLender {
    /// Starts a lender that remembers nothing.
    pub fn open(settings: StoreSettings, now: MonotonicTime) -> Self {
        let ready_at = now + settings.loan_term;
        Self { settings, ready_at, loans: BTreeMap::new() }
    }

    /// Answers a request with what is left, which may be nothing.
    pub fn lend(&mut self, now: MonotonicTime, request: &LoanRequest) -> StoreLoan {
        let term = self.settings.loan_term;
        let mut loan = StoreLoan { round: request.round, share: StoreShare::default(), term };
        if now < self.ready_at || !self.settings.centres.contains(&request.centre) {
            return loan;
        }
        self.loans.values_mut().for_each(|loans| loans.retain(|loan| now < loan.ends));
        let others = self.loans.iter().filter(|(centre, _)| **centre != request.centre);
        let others =
            others.map(|(_, loans)| largest(loans)).fold(StoreShare::default(), StoreShare::plus);
        loan.share = request.wanted.min(self.settings.pool().minus(others));
        self.note(request, OpenLoan { share: loan.share, ends: now + term });
        loan
    }

    fn note(&mut self, request: &LoanRequest, open: OpenLoan) {
        let loans = self.loans.entry(request.centre.clone()).or_default();
        if loans.len() >= MAX_LOANS {
            let share = largest(loans);
            *loans = vec![OpenLoan { share: share.max(open.share), ends: open.ends }];
        }
        loans.push(open);
    }
}

/// Loans of a data centre that are kept apart; beyond that they are taken as one.
const MAX_LOANS: usize = 8;

fn largest(loans: &[OpenLoan]) -> StoreShare {
    loans.iter().map(|loan| loan.share).fold(StoreShare::default(), StoreShare::max)
}
