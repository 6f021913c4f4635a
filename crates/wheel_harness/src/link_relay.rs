//! A link between two processes that can be cut.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::HarnessError;
use crate::harness_error::IoSnafu;

/// What a link does with what is sent over it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Passes everything on.
    Open,
    /// Closes what is open and refuses what comes, as a closed port does.
    Refusing,
    /// Keeps what is open, accepts what comes, and passes nothing on.
    Silent,
}

/// Listens in front of an address and passes bytes on while it is open.
#[derive(Debug)]
pub struct LinkRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: AbortHandle,
}

impl LinkRelay {
    /// Listens on a free port and passes what comes on to `target`.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if no port is free.
    pub async fn bind(target: SocketAddr) -> Result<Self, HarnessError> {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.context(IoSnafu { what: "bind a link" })?;
        let address = listener.local_addr().context(IoSnafu { what: "read a link's port" })?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let task = tokio::spawn(accept_loop(listener, target, Arc::clone(&state))).abort_handle();
        Ok(Self { address, state, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does, also with what is open.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(pass_on(stream, target, state.subscribe()));
    }
}

/// A connection that went silent stays silent for good, as one does whose middlebox forgot it.
async fn pass_on(mut near: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let first = *state.borrow_and_update();
    match first {
        LinkState::Refusing => return,
        LinkState::Silent => return hold_until_refused(near, state).await,
        LinkState::Open => {}
    }
    let Ok(mut far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let changed = async {
        while state.changed().await.is_ok() {
            let now = *state.borrow_and_update();
            if now != LinkState::Open {
                return now;
            }
        }
        LinkState::Refusing
    };
    let ended = tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => LinkState::Refusing,
        now = changed => now,
    };
    if ended == LinkState::Silent {
        hold_until_refused(near, state).await;
    }
    drop(far);
}

async fn hold_until_refused(near: TcpStream, mut state: watch::Receiver<LinkState>) {
    let _ = state.wait_for(|state| *state == LinkState::Refusing).await;
    drop(near);
}
