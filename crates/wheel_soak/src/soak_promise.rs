//! What must always hold.

use serde::Serialize;

/// A promise of the system to callers, upstreams and operators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Serialize)]
pub enum SoakPromise {
    /// Each accepted request gets one whole answer or a refusal within its time.
    Answered,
    /// What was refused as not run never runs.
    RefusedNeverRuns,
    /// What isn't idempotent runs at most once.
    RunsOnce,
    /// An answer belongs to its request, and is what its upstream gave.
    AnswerBelongs,
    /// A part never looks whole.
    PartNeverWhole,
    /// Acknowledged configurations never go back and are in force in time.
    ChangeKept,
    /// One holder orders at a time.
    OneHolder,
    /// An upstream's memory is never overcommitted.
    MemoryHeld,
    /// Loads stay within the weight store's rate.
    StoreRate,
    /// An upstream that leaves gets no new work.
    LeavingUnused,
    /// A process ends when it is told to, by itself, within its grace.
    EndsInGrace,
    /// What a process says of its readiness is true.
    ReadinessTrue,
    /// After the last fault requests are served.
    ServedAgain,
    /// Logs tell why a request failed.
    FailureExplained,
}
