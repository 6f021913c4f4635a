//! The serving side of the handshake.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp::Error;
use capnp_rpc::new_client;
use tokio_util::sync::CancellationToken;

use crate::counter_table::count;
use crate::handshake_transcript::{HandshakeTranscript, PeerGreeting, ProofSide};
use crate::hub_context::HubContext;
use crate::peer_capnp::gate;
use crate::peer_session::PeerSession;
use crate::stream_monitor::StreamMonitor;
use crate::{ConnectionId, PROTOCOL_VERSION};

/// The bootstrap object of an accepted connection; it returns the session once the client is
/// authenticated.
pub(crate) struct PeerGate {
    context: Rc<HubContext>,
    id: ConnectionId,
    address: SocketAddr,
    monitor: Rc<StreamMonitor>,
    entered: CancellationToken,
    transcript: RefCell<Option<HandshakeTranscript>>,
}

impl PeerGate {
    /// `entered` is cancelled when the client is authenticated.
    pub(crate) fn new(
        context: Rc<HubContext>,
        (id, address): (ConnectionId, SocketAddr),
        monitor: Rc<StreamMonitor>,
        entered: CancellationToken,
    ) -> Self {
        Self { context, id, address, monitor, entered, transcript: RefCell::default() }
    }
}

impl gate::Server for PeerGate {
    async fn greet(
        self: Rc<Self>,
        params: gate::GreetParams,
        mut results: gate::GreetResults,
    ) -> Result<(), Error> {
        let mut answer = results.get().init_answer();
        let hello = params.get()?.get_hello()?;
        if hello.get_protocol() != PROTOCOL_VERSION {
            answer.set_wrong_version(PROTOCOL_VERSION);
            return Ok(());
        }
        let client = PeerGreeting::read(hello)?;
        let group = &self.context.settings.group;
        if client.group.as_str() != &**group {
            answer.set_wrong_group(&**group);
            return Ok(());
        }
        if self.context.check_address(self.address).is_err() {
            answer.set_not_loopback(());
            return Ok(());
        }
        let server = PeerGreeting::new(group, &self.context.identity());
        server.write(answer.init_welcome());
        self.transcript.replace(Some(HandshakeTranscript { client, server }));
        Ok(())
    }

    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let transcript = self.transcript.take();
        let transcript = transcript.ok_or_else(|| Error::failed("not greeted".to_owned()))?;
        let secret = self.context.settings.secret.as_ref();
        let mut answer = results.get().init_answer();
        if !transcript.verify_proof(ProofSide::Client, secret, params.get_proof()?) {
            answer.set_wrong_secret(());
            return Ok(());
        }
        self.monitor.remove_limit();
        self.entered.cancel();
        count(&self.context.counters.accepted, 1);
        let identity = transcript.client.identity.clone();
        let session = PeerSession::new(self.context.clone(), self.id, identity);
        let mut entered = answer.init_entered();
        entered.set_session(new_client(session));
        entered.set_proof(&transcript.make_proof(ProofSide::Server, secret));
        Ok(())
    }
}
