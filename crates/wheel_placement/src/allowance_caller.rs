//! Calls by which allowance is asked for.

use std::net::SocketAddr;
use std::time::Duration;

use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_route::{AllowanceReply, AllowanceRequest};
use wheel_types::InstanceName;

/// Time limit for a reply: it may be held for 40 ms, and instances with a tenth of a core may need
/// more than that to read it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Asks control instances for allowance, apart from syncs: a reply to a sync may be held for other
/// news, while a request waits for its units.
#[derive(Clone)]
pub struct AllowanceCaller {
    hub: PeerHub,
}

impl AllowanceCaller {
    /// Creates a caller.
    pub fn new(hub: PeerHub) -> Self {
        Self { hub }
    }

    /// Asks the given control instance; `None` if no valid reply is received.
    pub async fn call(
        &self,
        control: SocketAddr,
        request: &AllowanceRequest,
    ) -> Option<AllowanceReply> {
        let address = PeerAddress::new(InstanceName::from(control.to_string().as_str()), control);
        let body = postcard::to_stdvec(request).ok()?;
        let answer = self.hub.call(&address, PeerChannel::Demand, body, REPLY_TIMEOUT).await;
        postcard::from_bytes(&answer.ok()?).ok()
    }
}
