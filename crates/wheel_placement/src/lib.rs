//! The control plane of a discovered fleet.
//!
//! [`ListWatch`] reads the list of upstreams, and a [`ListLedger`] merges what it reads with what is
//! known. [`FleetRegistry`] collects the syncs of other
//! instances and provides the replies. [`FleetDirector`] reads engines' reports and sends orders
//! while this instance holds the [`OrderAuthority`]. [`ConfigService`] accepts operators'
//! configurations. [`ParentSync`] tells an instance which configuration is the newest one;
//! [`DocumentFetch`] and [`DocumentSource`] transfer its document.

mod allowance_caller;
mod allowance_registry;
mod authority_ledger;
mod config_service;
mod control_table;
mod directed_engine;
mod document_codec;
mod document_fetch;
mod document_source;
mod fleet_dialect;
mod fleet_director;
mod fleet_registry;
mod limit_registry;
mod list_entry;
mod list_ledger;
mod list_watch;
mod odd_entry_log;
mod order_authority;
mod parent_sync;
mod placement_metrics;
mod published_views;
mod speed_registry;
mod view_table;

pub use allowance_caller::AllowanceCaller;
pub use allowance_registry::AllowanceRegistry;
pub use authority_ledger::{AuthorityLedger, AuthorityTimes};
pub use config_service::{ConfigService, PutOutcome};
pub(crate) use control_table::ControlTable;
pub use document_fetch::DocumentFetch;
pub use document_source::DocumentSource;
pub use fleet_dialect::{ConfigDialect, FleetDialect, FleetOrder, ListPage};
pub use fleet_director::{DirectorContext, FleetDirector};
pub use fleet_registry::FleetRegistry;
pub use list_entry::{OddEntry, OddKind};
pub use list_ledger::{ListLedger, ListRead, MergedList};
pub use list_watch::{ListSettings, ListWatch};
pub use odd_entry_log::OddEntryLog;
pub use order_authority::OrderAuthority;
pub use parent_sync::{ParentSync, SyncSettings};
