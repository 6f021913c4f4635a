//! The right to order an engine.

/// Says whether an order may still go out, which is asked when its bytes are about to leave.
///
/// The holder of a data centre's lease implements it over the lease's end, so that an order that
/// was prepared under a lease can't leave after that lease.
pub trait OrderPermit: Send + Sync + 'static {
    /// True while the order may go out. Called on the path of a write: it must not block.
    fn valid(&self) -> bool;
}
