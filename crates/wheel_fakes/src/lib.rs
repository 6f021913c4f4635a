//! Fakes of the system's environment for tests and the quickstart: an engine, a plain service, the
//! weight store and the instance list, as `docs/PROTOCOLS.md` describes them.
//!
//! Each `bind` returns a handle of a running server, with counters of what actually ran and methods
//! that inject faults. [`FaultPlan`] can also be set over HTTP (`PUT /fake/faults`), for
//! process-level tests.

mod call_headers;
mod engine_stream;
mod fake_engine;
mod fake_engine_settings;
mod fake_engine_state;
mod fake_list;
mod fake_server;
mod fake_service;
mod fake_store;
mod fault_plan;

pub use engine_stream::token_text;
pub use fake_engine::FakeEngine;
pub use fake_engine_settings::FakeEngineSettings;
pub use fake_list::{FakeList, ListEntry};
pub use fake_service::FakeService;
pub use fake_store::{FakeStore, FakeStoreSettings};
pub use fault_plan::FaultPlan;
