//! The permission to send an order to an engine.

/// Says whether an order may still be sent; checked just before its bytes are written.
///
/// The holder of a data centre's lease implements it by the end of the lease, so that an order
/// prepared under a lease can't be sent after the lease has ended.
pub trait OrderPermit: Send + Sync + 'static {
    /// True while the order may be sent. Called during a write: it must not block.
    fn is_valid(&self) -> bool;
}
