//! Measures the slopes behind docs/CAPACITY.md and writes them as CSV.
//!
//! Each run starts a whole system with [`wheel_harness`], puts load on it, and writes one
//! [`CsvTable`]. [`CapacityPage`] reads the tables, fits a [`LineFit`] to each slope and
//! extrapolates it to the size that the system is designed for.

mod bench_error;
mod bench_manifest;
mod capacity_page;
mod csv_table;
mod line_fit;
mod load_client;
mod measured_slopes;
mod page_block;
mod process_meter;
mod run_changes;
mod run_claims;
mod run_failures;
mod run_idle;
mod run_manifest;
mod run_polling;
mod run_requests;
mod run_storm;
mod run_streams;
mod scraped_counters;
mod target_size;

pub use bench_error::BenchError;
pub use bench_manifest::BenchManifest;
pub use capacity_page::CapacityPage;
pub use csv_table::CsvTable;
pub use line_fit::LineFit;
pub use load_client::{LoadClient, LoadResult};
pub use measured_slopes::MeasuredSlopes;
pub use page_block::PageBlock;
pub use process_meter::{MeterReading, ProcessMeter};
pub use run_changes::run_changes;
pub use run_claims::run_claims;
pub use run_failures::run_failures;
pub use run_idle::run_idle;
pub use run_manifest::run_manifest;
pub use run_polling::run_polling;
pub use run_requests::run_requests;
pub use run_storm::run_storm;
pub use run_streams::run_streams;
pub use scraped_counters::ScrapedCounters;
