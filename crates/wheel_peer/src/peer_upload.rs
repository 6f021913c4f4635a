//! A call whose body arrives in pieces.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use capnp::Error;

use crate::peer_capnp::upload;
use crate::peer_session::{AdmittedCall, PeerSession};

/// Collects the pieces of one body; memory grows with the received bytes.
pub(crate) struct PeerUpload {
    session: PeerSession,
    call: Cell<Option<AdmittedCall>>,
    size: usize,
    body: RefCell<Vec<u8>>,
}

impl PeerUpload {
    pub(crate) fn new(session: PeerSession, call: AdmittedCall, size: usize) -> Self {
        Self { session, call: Cell::new(Some(call)), size, body: RefCell::default() }
    }
}

impl upload::Server for PeerUpload {
    async fn write(
        self: Rc<Self>,
        params: upload::WriteParams,
        _: upload::WriteResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let piece = params.get_piece()?;
        let mut body = self.body.borrow_mut();
        if body.len() + piece.len() > self.size {
            return Err(Error::failed("more bytes than announced".to_owned()));
        }
        body.extend_from_slice(piece);
        Ok(())
    }

    async fn finish(
        self: Rc<Self>,
        _: upload::FinishParams,
        mut results: upload::FinishResults,
    ) -> Result<(), Error> {
        let body = self.body.take();
        let call = self.call.take().filter(|_| body.len() == self.size);
        let call = call.ok_or_else(|| Error::failed("finished early or twice".to_owned()))?;
        self.session.clone().run(call, body, results.get().init_answer()).await;
        Ok(())
    }
}
