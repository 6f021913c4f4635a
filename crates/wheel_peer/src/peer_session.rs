//! The calls that an authenticated instance may make.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::new_client;

use crate::call_limiter::CallPermit;
use crate::connection_registry::ActiveCall;
use crate::counter_table::count;
use crate::hub_context::{HubContext, PIECE_BYTES};
use crate::peer_capnp::{Failure, call_answer, session};
use crate::peer_download::PeerDownload;
use crate::peer_upload::PeerUpload;
use crate::{ConnectionId, PeerChannel, PeerIdentity, PeerRefusal};

/// Longest reason of a refusal, in bytes; longer ones are truncated.
const MAX_REASON_BYTES: usize = 1_024;

/// The serving side of one authenticated connection.
#[derive(Clone)]
pub(crate) struct PeerSession {
    context: Rc<HubContext>,
    connection: ConnectionId,
    peer: PeerIdentity,
}

/// A call that was admitted within the limits.
pub(crate) struct AdmittedCall {
    pub(crate) channel: PeerChannel,
    permit: CallPermit,
    active: ActiveCall,
}

impl PeerSession {
    pub(crate) fn new(
        context: Rc<HubContext>,
        connection: ConnectionId,
        peer: PeerIdentity,
    ) -> Self {
        Self { context, connection, peer }
    }

    /// Admits a call with a body of `size` bytes, or says why not.
    fn admit(&self, channel: u16, size: usize) -> Result<AdmittedCall, Failure> {
        let channel = PeerChannel::from_wire(channel).ok_or(Failure::UnknownChannel)?;
        if self.context.draining.get() {
            return Err(Failure::ShuttingDown);
        }
        if size > self.context.settings.limits.max_body_bytes {
            return Err(Failure::TooLarge);
        }
        let admitted = self.context.connections.begin_call(self.connection, channel.is_quorum());
        let Some((class, active)) = admitted else {
            count(&self.context.counters.refused, 1);
            return Err(Failure::Overloaded);
        };
        let permit = self.context.limiter.acquire(class, size).ok_or(Failure::Overloaded)?;
        Ok(AdmittedCall { channel, permit, active })
    }

    /// Runs the handler on the runtime of the settings and writes its answer.
    pub(crate) async fn run(
        self,
        call: AdmittedCall,
        body: Vec<u8>,
        answer: call_answer::Builder<'_>,
    ) {
        let AdmittedCall { channel, permit, active } = call;
        let row = self.context.counters.row(channel);
        count(&row.calls_handled, 1);
        count(&row.bytes_received, body.len());
        let handler = self.context.handler.clone();
        let peer = self.peer.clone();
        let work = async move { (handler.handle(peer, channel, body).await, permit) };
        let handled = self.context.settings.runtime.spawn(work).await;
        match handled {
            Ok((Ok(bytes), permit)) => self.write_bytes(channel, bytes, (permit, active), answer),
            Ok((Err(refusal), _)) => write_refusal(&refusal, answer),
            Err(_) => write_failure(Failure::HandlerFailed, answer),
        }
    }

    fn write_bytes(
        &self,
        channel: PeerChannel,
        bytes: Vec<u8>,
        (permit, active): (CallPermit, ActiveCall),
        mut answer: call_answer::Builder<'_>,
    ) {
        let size = bytes.len();
        if size > self.context.settings.limits.max_body_bytes {
            return write_failure(Failure::HandlerFailed, answer);
        }
        count(&self.context.counters.row(channel).bytes_sent, size);
        if size <= PIECE_BYTES {
            return answer.set_whole(&bytes);
        }
        let mut pieces = answer.init_pieces();
        pieces.set_size(size as u32);
        pieces.set_download(new_client(PeerDownload::new(bytes, permit, active)));
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
