//! The guarantees of the system.

use serde::Serialize;

/// A guarantee of the system to callers, upstreams and operators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Serialize)]
pub enum SystemGuarantee {
    /// Each accepted request gets one complete answer or a refusal before its deadline.
    Answered,
    /// A request that was refused as not run never runs.
    RefusedNeverRuns,
    /// A request that isn't idempotent runs at most once.
    RunsOnce,
    /// An answer belongs to its request, and is what its upstream sent.
    AnswerBelongs,
    /// A partial answer never looks complete.
    PartNeverWhole,
    /// Acknowledged configurations are never reverted and take effect in time.
    ChangeKept,
    /// Only one lease holder sends orders at a time.
    OneHolder,
    /// An upstream's memory is never overcommitted.
    MemoryHeld,
    /// Loads stay within the weight store's rate.
    StoreRate,
    /// A leaving upstream gets no new work.
    LeavingUnused,
    /// A process exits by itself after SIGTERM, within its grace period, and never otherwise.
    EndsInGrace,
    /// A process uses a bounded amount of memory, whatever its upstreams and the list send.
    MemoryBounded,
    /// A request runs at no more upstreams than its route allows, resumed runs included.
    AttemptsKept,
    /// A request runs under the name of the team that holds its key and never without a valid key, and no
    /// upstream receives a key.
    KeysKept,
    /// A process reports its readiness correctly.
    ReadinessTrue,
    /// Requests are served again after the last fault.
    ServedAgain,
    /// A control instance that runs takes part in its group again by itself.
    MemberAgain,
    /// Logs state why a request failed.
    FailureExplained,
}
