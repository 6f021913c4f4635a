//! Deterministic decisions: admission, queueing, routing, placement, load order and forecast.
//!
//! Nothing here reads a clock, a socket or a file: time and seeds are passed in. The daemon and the
//! replays make the same calls to the same types, and the same inputs give the same outputs.
//!
//! - [`EngineQueue`] is the queue that an owner keeps for one engine.
//! - [`ColdQueue`] holds requests whose model isn't loaded anywhere.
//! - [`EngineRouter`] chooses the replica for a request; [`OutlierDetector`], [`RetryBudget`] and
//!   [`HedgePolicy`] limit the cost of faults and retries.
//! - [`PlacementPlanner`] decides what the engines of one data centre load and unload;
//!   [`DemandForecast`] gives it the expected requests.
//! - [`LimitTable`], [`LimitGrantor`] and [`LimitShare`] keep the limits that upstreams name for all
//!   instances together.
//! - [`AllowancePlan`], [`AllowanceGrantor`] and [`AllowanceShare`] keep teams' allowances for all
//!   instances together. Both kinds of limits are divided by [`AmountGrantor`].
//! - [`DispatchQueue`] decides when an ingress instance sends the requests that it holds.
//! - [`DecisionLog`] keeps recent decisions and their reasons.

mod adapter_pass;
mod adapter_steps;
mod admission_result;
mod allowance_grantor;
mod allowance_plan;
mod allowance_share;
mod amount_grantor;
mod amount_stock;
mod arrival_rates;
mod checkpoint_plan;
mod checkpoint_source;
mod cold_queue;
mod copy_plan;
mod crash_ledger;
mod decision_log;
mod demand_estimator;
mod demand_forecast;
mod demand_view;
mod dispatch_queue;
mod dispatch_request;
mod drain_pass;
mod engine_queue;
mod engine_router;
mod eviction_choice;
mod expected_time;
mod fleet_ledger;
mod fleet_plan;
mod fleet_planner;
mod fleet_view;
mod hedge_policy;
mod host_memory;
mod idle_pass;
mod limit_grantor;
mod limit_share;
mod limit_table;
mod load_candidate;
mod load_pass;
mod moving_average;
mod outlier_detector;
mod placement_manifest;
mod placement_planner;
mod placement_settings;
mod placement_step;
mod plan_round;
mod prefix_table;
mod prompt_chain;
mod queue_settings;
mod queued_request;
mod rank_credit;
mod rank_queue;
mod rank_state;
mod reachability_table;
mod ready_plan;
mod ready_queue;
mod replica_value;
mod replica_view;
mod rest_table;
mod retry_budget;
mod retry_time;
mod return_cost;
mod room_credit;
mod room_table;
mod route_decision;
mod route_query;
mod seeded_random;
mod shared_retry_budget;
mod slot_sample;
mod slowdown_estimator;
mod speed_ledger;
mod speed_tally;
mod stage_ledger;
mod stage_pass;
mod store_load_limiter;
mod team_order;
mod team_share;
mod upstream_choice;
mod upstream_load;
mod use_rate;
mod wait_estimate;
mod waiting_request;
mod weekly_profile;

pub use admission_result::{AdmissionResult, RefusalReason, RefusedRequest};
pub use allowance_grantor::AllowanceGrantor;
pub use allowance_plan::{AllowanceBounds, AllowancePlan, LEADER_PROOF_AGE};
pub use allowance_share::{AllowanceDecision, AllowanceQuery, AllowanceShare, TakenUnits, UseId};
pub use amount_grantor::{AmountDemand, AmountGrantor, GrantPlan};
pub use amount_stock::{AmountBatch, AmountStock};
pub use checkpoint_source::CheckpointSource;
pub use cold_queue::ColdQueue;
pub use crash_ledger::CrashLedger;
pub use decision_log::{DecisionEntry, DecisionLog, DecisionSubject};
pub use demand_estimator::{DemandEstimator, DemandLevel};
pub use demand_forecast::DemandForecast;
pub use demand_view::{AdapterDemand, DemandView, ModelDemand, RankDemand};
pub use dispatch_queue::{DispatchQueue, LOAD_REPORT_TIME, MAX_WAITING};
pub use dispatch_request::{
    DispatchEntry, DispatchRequest, DispatchStep, DispatchTicket, DispatchView, EngineRoom,
};
pub use engine_queue::EngineQueue;
pub use engine_router::EngineRouter;
pub use expected_time::{EngineLoad, is_slow, relative_speed};
pub use fleet_plan::{FleetPlan, PlanEngine, PlanInput, PlanStep};
pub use fleet_planner::FleetPlanner;
pub use fleet_view::{EngineView, FleetView, PlacedAdapter, PlacedModel};
pub use hedge_policy::{HedgeDecision, HedgePolicy, HedgeQuery};
pub use limit_grantor::LimitGrantor;
pub use limit_share::LimitShare;
pub use limit_table::LimitTable;
pub use outlier_detector::{OutlierDetector, OutlierSettings};
pub use placement_planner::PlacementPlanner;
pub use placement_settings::PlacementSettings;
pub use placement_step::{PlacementAction, PlacementReason, PlacementStep};
pub use prefix_table::{PrefixTable, agreed_tokens, agreed_upstreams};
pub use prompt_chain::PromptChain;
pub use queue_settings::QueueSettings;
pub use queued_request::QueuedRequest;
pub use reachability_table::ReachabilityTable;
pub use replica_view::ReplicaView;
pub use rest_table::RestTable;
pub use retry_budget::{BudgetSettings, RetryBudget};
pub use retry_time::retry_time;
pub use route_decision::{RouteDecision, RouteReason};
pub use route_query::RouteQuery;
pub use seeded_random::SeededRandom;
pub use shared_retry_budget::{SharedBudgetSettings, SharedRetryBudget};
pub use slot_sample::SlotSample;
pub use slowdown_estimator::SlowdownEstimator;
pub use speed_ledger::SpeedLedger;
pub use speed_tally::{SendStart, SpeedTally};
pub use store_load_limiter::StoreLoadLimiter;
pub use upstream_choice::{
    ModelResidency, UpstreamCandidate, best_expected_ms, choose_by_time, choose_upstream,
};
