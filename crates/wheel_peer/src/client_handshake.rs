//! The calling side of the handshake.

use crate::handshake_transcript::{HandshakeTranscript, PeerGreeting, ProofSide};
use crate::hub_context::HubContext;
use crate::peer_capnp::{enter_answer, gate, greet_answer, session};
use crate::{PeerAddress, PeerError};

/// Authenticates this instance and a peer to each other.
pub(crate) struct ClientHandshake<'a> {
    context: &'a HubContext,
    peer: &'a PeerAddress,
}

impl<'a> ClientHandshake<'a> {
    pub(crate) fn new(context: &'a HubContext, peer: &'a PeerAddress) -> Self {
        Self { context, peer }
    }

    /// Runs the handshake; the session is open when it returns.
    pub(crate) async fn run(&self, gate: &gate::Client) -> Result<session::Client, PeerError> {
        let transcript = self.greet(gate).await?;
        self.enter(gate, &transcript).await
    }

    async fn greet(&self, gate: &gate::Client) -> Result<HandshakeTranscript, PeerError> {
        let client = PeerGreeting::new(&self.context.settings.group, &self.context.identity());
        let mut request = gate.greet_request();
        client.write(request.get().init_hello());
        let response = request.send().promise.await.map_err(|error| self.unreachable(&error))?;
        let answer = response.get().and_then(|results| results.get_answer());
        let answer = answer.and_then(|answer| Ok(answer.which()?));
        let server = match answer.map_err(|error| self.unreachable(&error))? {
            greet_answer::Welcome(hello) => hello.and_then(PeerGreeting::read),
            greet_answer::WrongGroup(group) => return Err(self.wrong_group(group)),
            greet_answer::WrongVersion(theirs) => return Err(PeerError::WrongVersion { theirs }),
            greet_answer::NotLoopback(()) => {
                return Err(PeerError::NoSecret { address: self.peer.address });
            }
        };
        let server = server.map_err(|error| self.unreachable(&error))?;
        self.check_names(&server)?;
        Ok(HandshakeTranscript { client, server })
    }

    async fn enter(
        &self,
        gate: &gate::Client,
        transcript: &HandshakeTranscript,
    ) -> Result<session::Client, PeerError> {
        let secret = self.context.settings.secret.as_ref();
        let mut request = gate.enter_request();
        request.get().set_proof(&transcript.make_proof(ProofSide::Client, secret));
        let response = request.send().promise.await.map_err(|error| self.unreachable(&error))?;
        let answer = response.get().and_then(|results| results.get_answer());
        let answer = answer.and_then(|answer| Ok(answer.which()?));
        let entered = match answer.map_err(|error| self.unreachable(&error))? {
            enter_answer::Entered(entered) => entered,
            enter_answer::WrongSecret(()) => return Err(PeerError::WrongSecret),
        };
        let proof = entered.get_proof().map_err(|error| self.unreachable(&error))?;
        if !transcript.verify_proof(ProofSide::Server, secret, proof) {
            return Err(PeerError::WrongSecret);
        }
        entered.get_session().map_err(|error| self.unreachable(&error))
    }

    fn check_names(&self, server: &PeerGreeting) -> Result<(), PeerError> {
        let expected = &self.peer.instance;
        let found = &server.identity.instance;
        match () {
            () if server.group.as_str() != &*self.context.settings.group => {
                Err(PeerError::WrongGroup { theirs: server.group.clone() })
            }
            () if found != expected => {
                Err(PeerError::WrongInstance { expected: expected.clone(), found: found.clone() })
            }
            () => Ok(()),
        }
    }

    fn wrong_group(&self, group: capnp::Result<capnp::text::Reader<'_>>) -> PeerError {
        match group.and_then(|group| Ok(group.to_string()?)) {
            Ok(theirs) => PeerError::WrongGroup { theirs },
            Err(error) => self.unreachable(&error),
        }
    }

    fn unreachable(&self, error: &capnp::Error) -> PeerError {
        PeerError::Unreachable { address: self.peer.address, reason: error.to_string() }
    }
}
