//! What the list, the engines' reports and orders look like.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use wheel_lease::{ChangeEnd, EngineReading};
use wheel_route::{ConfigFault, EngineCard, EngineId, FleetConfig};
use wheel_types::HeldChange;
use wheel_upstream::OrderCallOutcome;

/// One page of the list of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListPage {
    /// The entries that could be read.
    pub cards: Vec<EngineCard>,
    /// Entries that couldn't; they name no upstream to use.
    pub unreadable: usize,
    /// The next page.
    pub next: Option<String>,
}

/// An order with all that guards it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetOrder {
    /// The engine, which refuses an order for another start of it.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The change.
    pub change: HeldChange,
    /// Orders that the engine must have accepted before.
    pub expect: u64,
    /// Who orders.
    pub holder: String,
    /// Grows with each holder.
    pub fencing: u64,
}

/// Speaks to the list and to engines about what they hold.
pub trait FleetDialect: Send + Sync + 'static {
    /// Asks for a page of the list; the first one without `page`.
    fn list(&self, page: Option<&str>) -> Request<Bytes>;

    /// Reads a page.
    ///
    /// # Errors
    /// What is wrong with the page as a whole.
    fn read_list(&self, body: &[u8]) -> Result<ListPage, String>;

    /// Asks an engine for its report.
    fn report(&self, engine: &EngineId) -> Request<Bytes>;

    /// Reads a report.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_report(&self, body: &[u8]) -> Result<EngineReading, String>;

    /// An order.
    fn order(&self, order: &FleetOrder) -> Request<Bytes>;

    /// What the end of an order's call means.
    fn order_end(&self, end: OrderCallOutcome) -> ChangeEnd;
}

/// Reads operators' configurations.
pub trait ConfigDialect: Send + Sync + 'static {
    /// Reads and checks a document.
    ///
    /// # Errors
    /// The first [`ConfigFault`].
    fn read(&self, bytes: &[u8]) -> Result<FleetConfig, ConfigFault>;
}
