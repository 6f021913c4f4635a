//! A soak of real processes under faults from outside.
//!
//! Callers, stand-ins and the operator tell an [`ObservationSink`] what they see; the checker judges it.

mod call_record;
mod change_watch;
mod event_series;
mod fault_history;
mod observation;
mod order_watch;
mod process_watch;
mod promise_bounds;
mod promise_checker;
mod promise_violation;
mod soak_promise;

pub use observation::{CallEnd, CallKind, Observation, ObservationSink, SeenEvent, SeenOrder};
pub use promise_bounds::PromiseBounds;
pub use promise_checker::PromiseChecker;
pub use promise_violation::PromiseViolation;
pub use soak_promise::SoakPromise;
