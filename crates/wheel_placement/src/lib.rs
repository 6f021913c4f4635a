//! The control plane of a discovered fleet.
//!
//! [`ListWatch`] reads the list of upstreams. [`FleetRegistry`] collects the syncs of other instances
//! and provides the replies. [`FleetDirector`] reads engines' reports and sends orders while this
//! instance holds the [`OrderAuthority`]. [`ConfigService`] accepts operators' configurations.

mod config_service;
mod directed_engine;
mod fleet_dialect;
mod fleet_director;
mod fleet_registry;
mod list_watch;
mod order_authority;
mod parent_sync;
mod right_ledger;

pub use config_service::{ConfigService, PutOutcome};
pub use fleet_dialect::{ConfigDialect, FleetDialect, FleetOrder, ListPage};
pub use fleet_director::{DirectorParts, FleetDirector};
pub use fleet_registry::FleetRegistry;
pub use list_watch::{ListSettings, ListWatch};
pub use order_authority::OrderAuthority;
pub use parent_sync::{ParentSync, SyncOutcome, SyncSettings};
pub use right_ledger::{AuthorityTimes, RightLedger};
