//! The data centre lease, fencing numbers and the record of engine orders, as pure step
//! functions.
//!
//! At most one instance of a data centre sends orders to its engines: the one that a majority of
//! [`LeaseGrantor`]s granted the lease. [`LeaseHolder`] claims, renews and releases it.
//! [`OrderLedger`] decides which orders the holder may send, and [`StoreBudget`] how many loads
//! its data centre may start from the shared weight store. [`EngineInventory`] tracks what one
//! engine of a discovered fleet holds, and [`LoadWindow`] limits how many loads begin there in a
//! time window. The README states the protocol, its assumptions and why fencing numbers increase.

mod engine_inventory;
mod engine_record;
mod engine_spec;
mod grantor_set;
mod holder_id;
mod holder_input;
mod holder_output;
mod holder_phase;
mod lease_authority;
mod lease_grantor;
mod lease_holder;
mod lease_reply;
mod lease_request;
mod lease_settings;
mod ledger_settings;
mod load_window;
mod order_ledger;
mod order_limits;
mod order_record;
mod order_refusal;
mod order_result;
mod store_allocation;
mod store_allocator;
mod store_budget;
mod store_settings;
mod store_share;

pub use engine_inventory::{
    ChangeOutcome, EngineInventory, OrderDuration, ReportedModel, ReportedStatus,
};
pub use engine_record::EngineRecord;
pub use engine_spec::{EngineSpec, FencingMode};
pub use grantor_set::GrantorSet;
pub use holder_id::HolderId;
pub use holder_input::HolderInput;
pub use holder_output::HolderOutput;
pub use holder_phase::{ClaimRound, HeldLease, HolderPhase};
pub use lease_authority::LeaseAuthority;
pub use lease_grantor::LeaseGrantor;
pub use lease_holder::LeaseHolder;
pub use lease_reply::{LeaseDecision, LeaseObstacle, LeaseReply};
pub use lease_request::{LeaseRequest, RequestKind};
pub use lease_settings::LeaseSettings;
pub use ledger_settings::LedgerSettings;
pub use load_window::LoadWindow;
pub use order_ledger::OrderLedger;
pub use order_limits::OrderLimits;
pub use order_record::{OrderPhase, OrderRecord};
pub use order_refusal::OrderRefusal;
pub use order_result::OrderResult;
pub use store_allocation::{AllocationRequest, StoreAllocation};
pub use store_allocator::StoreAllocator;
pub use store_budget::{StoreBudget, StoreRefusal};
pub use store_settings::StoreSettings;
pub use store_share::StoreShare;
