//! Replays recorded traces through `wheel_policy` in virtual time and compares baselines.
//!
//! [`TraceFile`] reads a trace, [`ReplaySetup`] prepares it, and [`ReplaySetup::replay`] runs it
//! under a [`ReplayPolicy`] against a small fixed model of the engines and the weight store. The
//! result is a [`ReplayReport`]. It needs no network, no node and no real clock.

mod call_flow;
mod call_record;
mod demand_generator;
mod demand_tracker;
mod fault_flow;
mod load_record;
mod model_placer;
mod on_demand_placer;
mod placement_flow;
mod replay_policy;
mod replay_queue;
mod replay_report;
mod replay_run;
mod replay_setup;
mod report_plot;
mod report_table;
mod site_plan;
mod stated_outcomes;
mod trace_event;
mod trace_file;
mod trace_header;
mod virtual_engine;
mod virtual_store;
mod wake_report;

pub use demand_generator::DemandGenerator;
pub use model_placer::ModelPlacer;
pub use on_demand_placer::OnDemandPlacer;
pub use replay_policy::ReplayPolicy;
pub use replay_report::{RankReport, ReplayReport, WaitQuantiles};
pub use replay_setup::ReplaySetup;
pub use report_plot::ReportPlot;
pub use report_table::ReportTable;
pub use site_plan::{SitePlan, SiteSpeed};
pub use stated_outcomes::{OutcomeBound, StatedOutcomes};
pub use trace_event::{FaultKind, TraceArrival, TraceEvent, TraceFault};
pub use trace_file::{TraceError, TraceFile};
pub use trace_header::{FloodPlan, GeneratorPlan, SiteName, TraceHeader};
pub use wake_report::{SlowWake, WakeReport};
