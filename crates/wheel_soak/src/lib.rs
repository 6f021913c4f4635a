//! A soak of real processes under faults from outside.
//!
//! Callers, stand-ins and the operator tell an [`ObservationSink`] what they see; the checker judges it.

mod observation;

pub use observation::{CallEnd, CallKind, Observation, ObservationSink, SeenEvent, SeenOrder};
