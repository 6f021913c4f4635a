//! What an authenticated instance may ask of this one.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::new_client;

use crate::call_ledger::HeldCall;
use crate::counter_table::count;
use crate::hub_context::{HubContext, PIECE_BYTES};
use crate::peer_capnp::{Failure, call_answer, session};
use crate::peer_download::PeerDownload;
use crate::peer_upload::PeerUpload;
use crate::{PeerChannel, PeerIdentity, PeerRefusal};

/// Longest reason of a refusal that is sent, in bytes.
const MAX_REASON_BYTES: usize = 1_024;

/// The serving side of one authenticated connection.
#[derive(Clone)]
pub(crate) struct PeerSession {
    context: Rc<HubContext>,
    peer: PeerIdentity,
}

/// A call that found room.
pub(crate) struct AdmittedCall {
    pub(crate) channel: PeerChannel,
    held: HeldCall,
}

impl PeerSession {
    pub(crate) fn new(context: Rc<HubContext>, peer: PeerIdentity) -> Self {
        Self { context, peer }
    }

    /// Takes room for a call with a body of `size` bytes.
    fn admit(&self, channel: u16, size: usize) -> Result<AdmittedCall, Failure> {
        let channel = PeerChannel::from_wire(channel).ok_or(Failure::UnknownChannel)?;
        if self.context.draining.get() {
            return Err(Failure::ShuttingDown);
        }
        if size > self.context.settings.limits.max_body {
            return Err(Failure::TooLarge);
        }
        let held = self.context.ledger.hold(size).ok_or(Failure::Overloaded)?;
        Ok(AdmittedCall { channel, held })
    }

    /// Runs the handler on the caller's runtime and writes its answer.
    pub(crate) async fn run(
        self,
        call: AdmittedCall,
        body: Vec<u8>,
        answer: call_answer::Builder<'_>,
    ) {
        let AdmittedCall { channel, held } = call;
        let row = self.context.counters.row(channel);
        count(&row.calls_handled, 1);
        count(&row.bytes_received, body.len());
        let handler = self.context.handler.clone();
        let peer = self.peer.clone();
        let work = async move { (handler.handle(peer, channel, body).await, held) };
        let handled = self.context.settings.runtime.spawn(work).await;
        match handled {
            Ok((Ok(bytes), held)) => self.write_bytes(channel, bytes, held, answer),
            Ok((Err(refusal), _)) => write_refusal(&refusal, answer),
            Err(_) => write_failure(Failure::HandlerFailed, answer),
        }
    }

    fn write_bytes(
        &self,
        channel: PeerChannel,
        bytes: Vec<u8>,
        held: HeldCall,
        mut answer: call_answer::Builder<'_>,
    ) {
        let size = bytes.len();
        if size > self.context.settings.limits.max_body {
            return write_failure(Failure::HandlerFailed, answer);
        }
        count(&self.context.counters.row(channel).bytes_sent, size);
        if size <= PIECE_BYTES {
            return answer.set_whole(&bytes);
        }
        let mut pieces = answer.init_pieces();
        pieces.set_size(size as u32);
        pieces.set_download(new_client(PeerDownload::new(bytes, held)));
    }
}

impl session::Server for PeerSession {
    async fn call(
        self: Rc<Self>,
        params: session::CallParams,
        mut results: session::CallResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let body = params.get_body()?;
        match self.admit(params.get_channel(), body.len()) {
            Ok(call) => {
                let session = Self::clone(&self);
                session.run(call, body.to_vec(), results.get().init_answer()).await;
            }
            Err(failure) => write_failure(failure, results.get().init_answer()),
        }
        Ok(())
    }

    async fn upload(
        self: Rc<Self>,
        params: session::UploadParams,
        mut results: session::UploadResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let size = params.get_size() as usize;
        let mut answer = results.get().init_answer();
        match self.admit(params.get_channel(), size) {
            Ok(call) => {
                let upload = PeerUpload::new(Self::clone(&self), call, size);
                answer.set_upload(new_client(upload));
            }
            Err(failure) => answer.set_failure(failure),
        }
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        _: session::ProbeParams,
        _: session::ProbeResults,
    ) -> Result<(), Error> {
        Ok(())
    }
}

fn write_refusal(refusal: &PeerRefusal, mut answer: call_answer::Builder<'_>) {
    let end = refusal.reason.floor_char_boundary(MAX_REASON_BYTES);
    answer.set_refused(&refusal.reason[..end]);
}

fn write_failure(failure: Failure, mut answer: call_answer::Builder<'_>) {
    answer.set_failure(failure);
}
