//! The proof that one side of a connection knows the group's secret.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;
use wheel_types::{IncarnationId, InstanceName};

use crate::peer_capnp::hello;
use crate::{PeerIdentity, PeerSecret};

/// The version of the protocol between instances; both sides must use the same.
pub const PROTOCOL_VERSION: u32 = 1;

/// Bytes of a side's challenge.
const CHALLENGE_BYTES: usize = 32;

/// The longest name that a greeting may carry, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The side that a proof is for; the proof of one side isn't valid for the other.
#[derive(Clone, Copy)]
pub(crate) enum ProofSide {
    Client,
    Server,
}

/// The claimed identity of one side, before authentication.
#[derive(Clone)]
pub(crate) struct PeerGreeting {
    pub(crate) protocol: u32,
    pub(crate) group: String,
    pub(crate) identity: PeerIdentity,
    challenge: [u8; CHALLENGE_BYTES],
}

impl PeerGreeting {
    /// A greeting with a fresh challenge.
    pub(crate) fn new(group: &str, identity: &PeerIdentity) -> Self {
        Self {
            protocol: PROTOCOL_VERSION,
            group: group.to_owned(),
            identity: identity.clone(),
            challenge: rand::random(),
        }
    }

    pub(crate) fn read(hello: hello::Reader<'_>) -> Result<Self, capnp::Error> {
        let malformed = || capnp::Error::failed("malformed greeting".to_owned());
        let group = hello.get_group()?.to_str()?;
        let instance = hello.get_instance()?.to_str()?;
        let challenge = hello.get_challenge()?.try_into().map_err(|_| malformed())?;
        if group.len() > MAX_NAME_BYTES || instance.len() > MAX_NAME_BYTES {
            return Err(malformed());
        }
        let identity = PeerIdentity {
            instance: InstanceName::new(instance),
            incarnation: IncarnationId(hello.get_incarnation()),
        };
        Ok(Self { protocol: hello.get_protocol(), group: group.to_owned(), identity, challenge })
    }

    pub(crate) fn write(&self, mut hello: hello::Builder<'_>) {
        hello.set_protocol(self.protocol);
        hello.set_group(&self.group);
        hello.set_instance(self.identity.instance.as_str());
        hello.set_incarnation(self.identity.incarnation.0);
        hello.set_challenge(&self.challenge);
    }

    fn feed(&self, mac: &mut Hmac<Sha256>) {
        mac.update(&self.protocol.to_be_bytes());
        feed_name(mac, &self.group);
        feed_name(mac, self.identity.instance.as_str());
        mac.update(&self.identity.incarnation.0.to_be_bytes());
        mac.update(&self.challenge);
    }
}

/// Both greetings of a connection, which the proofs cover.
pub(crate) struct HandshakeTranscript {
    pub(crate) client: PeerGreeting,
    pub(crate) server: PeerGreeting,
}

impl HandshakeTranscript {
    /// The proof of one side: a MAC over the side and both greetings.
    pub(crate) fn make_proof(&self, side: ProofSide, secret: Option<&PeerSecret>) -> Vec<u8> {
        let key = secret.map_or(&[][..], PeerSecret::as_bytes);
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) else {
            unreachable!("HMAC takes keys of any length");
        };
        let label: &[u8] = match side {
            ProofSide::Client => b"wisteriawheel peer client",
            ProofSide::Server => b"wisteriawheel peer server",
        };
        mac.update(label);
        self.client.feed(&mut mac);
        self.server.feed(&mut mac);
        mac.finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is the proof of `side`, compared in constant time.
    pub(crate) fn verify_proof(
        &self,
        side: ProofSide,
        secret: Option<&PeerSecret>,
        proof: &[u8],
    ) -> bool {
        self.make_proof(side, secret).ct_eq(proof).into()
    }
}

fn feed_name(mac: &mut Hmac<Sha256>, name: &str) {
    mac.update(&(name.len() as u64).to_be_bytes());
    mac.update(name.as_bytes());
}
