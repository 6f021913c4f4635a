//! Formats of the instance list, engines' reports, orders and configurations.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use wheel_lease::{ChangeOutcome, ReportedStatus};
use wheel_route::{ConfigError, EngineId, EngineInfo, FleetConfig};
use wheel_types::ModelChange;
use wheel_upstream::OrderCallOutcome;

use crate::OddEntry;

/// One page of the list of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// The entries that could be parsed.
    pub engines: Vec<EngineInfo>,
    /// The entries that couldn't be parsed; their upstreams aren't used.
    pub odd: Vec<OddEntry>,
    /// Token of the next page.
    pub next: Option<String>,
    /// Whether the token of the next page couldn't be found.
    pub is_cut: bool,
}

/// An order with its preconditions.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetOrder {
    /// The engine. It refuses an order that is meant for another start of it.
    pub engine: EngineId,
    /// The engine's listen address.
    pub address: SocketAddr,
    /// The change.
    pub change: ModelChange,
    /// Number of orders that the engine must have accepted before this one.
    pub expect: u64,
    /// The instance that sends the order.
    pub holder: String,
    /// The fencing number, which grows with each holder of the order authority.
    pub fencing: u64,
}

/// Encodes requests to the instance list and to engines, and decodes their answers.
pub trait FleetDialect: Send + Sync + 'static {
    /// The request for a page of the list; the first page if `page` is `None`.
    fn list(&self, page: Option<&str>) -> Request<Bytes>;

    /// Parses a page.
    ///
    /// # Errors
    /// Why the page as a whole can't be parsed.
    fn read_list(&self, body: &[u8]) -> Result<ListPage, String>;

    /// The request for an engine's report.
    fn report(&self, engine: &EngineId) -> Request<Bytes>;

    /// Parses a report.
    ///
    /// # Errors
    /// Why it can't be parsed.
    fn read_report(&self, body: &[u8]) -> Result<ReportedStatus, String>;

    /// The request that carries an order.
    fn order(&self, order: &FleetOrder) -> Request<Bytes>;

    /// Maps the end of an order's call to its effect on the engine.
    fn order_end(&self, end: OrderCallOutcome) -> ChangeOutcome;
}

/// Parses operators' configurations.
pub trait ConfigDialect: Send + Sync + 'static {
    /// Parses and validates a document.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, ConfigError>;
}
