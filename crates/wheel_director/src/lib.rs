//! Drives a data centre's lease, its placement and its orders to engines.
//!
//! Every grantor of a data centre runs a [`LeaseDriver`]; the one that holds the lease runs the
//! placement in its [`CentreDirector`] and sends orders to the engines.
//!
//! Lock order: [`DemandTable`]'s lock and [`LeaseDriver`]'s lock are never held together.

mod centre_director;
mod demand_table;
mod director_host;
mod director_settings;
mod engine_clients;
mod fleet_builder;
mod forecast_cache;
mod lease_driver;
mod lease_permit;
mod order_sender;
mod placement_round;
mod replica_table;
mod store_rate_limiter;

pub use centre_director::CentreDirector;
pub use demand_table::DemandTable;
pub use director_host::{DirectorHost, ReceivedReport};
pub use director_settings::DirectorSettings;
pub use lease_driver::{GrantorResolver, LeaseDriver};
pub use store_rate_limiter::{StoreRateLimiter, StoreShare, TimeSlot};
