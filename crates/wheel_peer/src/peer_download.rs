//! An answer that is sent in pieces.

use std::cell::Cell;
use std::rc::Rc;

use capnp::Error;

use crate::call_limiter::CallPermit;
use crate::connection_registry::ActiveCall;
use crate::hub_context::PIECE_BYTES;
use crate::peer_capnp::download;

/// Sends one answer piece by piece; its call counts as in progress until the caller releases this
/// object.
pub(crate) struct PeerDownload {
    bytes: Vec<u8>,
    next: Cell<usize>,
    _permit: CallPermit,
    _active: ActiveCall,
}

impl PeerDownload {
    pub(crate) fn new(bytes: Vec<u8>, permit: CallPermit, active: ActiveCall) -> Self {
        Self { bytes, next: Cell::new(0), _permit: permit, _active: active }
    }
}

impl download::Server for PeerDownload {
    async fn read(
        self: Rc<Self>,
        _: download::ReadParams,
        mut results: download::ReadResults,
    ) -> Result<(), Error> {
        let start = self.next.get();
        let end = self.bytes.len().min(start + PIECE_BYTES);
        self.next.set(end);
        results.get().set_piece(&self.bytes[start..end]);
        Ok(())
    }
}
