//! Helpers shared by the tests of the hub.

#![allow(clippy::unwrap_used, dead_code)]

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use wheel_peer::{
    PeerAddress, PeerChannel, PeerHandler, PeerHub, PeerIdentity, PeerLimits, PeerRefusal,
    PeerSecret, PeerSettings,
};

/// Long enough that only a hang reaches it.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Refuses `refuse`, panics on `panic`, holds `hold` until released, answers `who` with the calling
/// instance, and echoes everything else.
#[derive(Default)]
pub(crate) struct TestHandler {
    pub(crate) held: Arc<HeldCalls>,
}

/// Signals that a call is held, and releases it.
pub(crate) struct HeldCalls {
    pub(crate) begun: Semaphore,
    pub(crate) release: Semaphore,
}

impl Default for HeldCalls {
    fn default() -> Self {
        Self { begun: Semaphore::new(0), release: Semaphore::new(0) }
    }
}

impl PeerHandler for TestHandler {
    fn handle(
        &self,
        peer: PeerIdentity,
        _: PeerChannel,
        body: Vec<u8>,
    ) -> BoxFuture<'static, Result<Vec<u8>, PeerRefusal>> {
        let held = self.held.clone();
        async move {
            match body.as_slice() {
                b"refuse" => Err(PeerRefusal::new("not today")),
                b"panic" => panic!("asked to"),
                b"who" => Ok(peer.instance.as_str().as_bytes().to_vec()),
                b"hold" => {
                    held.begun.add_permits(1);
                    held.release.acquire().await.unwrap().forget();
                    Ok(b"held".to_vec())
                }
                _ => Ok(body),
            }
        }
        .boxed()
    }
}

/// A group name unique to this process, because a port that it released may already belong to
/// another test.
pub(crate) fn group() -> String {
    format!("isan-{}", std::process::id())
}

pub(crate) fn settings(instance: &str) -> PeerSettings {
    PeerSettings::new(group(), instance.into(), Handle::current())
        .secret(PeerSecret::new(*b"a secret"))
        .limits(quick_limits())
}

pub(crate) fn quick_limits() -> PeerLimits {
    PeerLimits {
        silence_timeout: Duration::from_millis(100),
        probe_timeout: Duration::from_secs(1),
        handshake_timeout: Duration::from_millis(1500),
        ..PeerLimits::default()
    }
}

pub(crate) fn bind(settings: PeerSettings) -> PeerHub {
    PeerHub::bind(settings, Arc::new(TestHandler::default())).unwrap()
}

pub(crate) fn address_of(hub: &PeerHub, instance: &str) -> PeerAddress {
    PeerAddress::new(instance.into(), hub.local_addr())
}
