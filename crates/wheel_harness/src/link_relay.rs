//! A TCP proxy that simulates network faults between two processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::harness_error::IoSnafu;
use crate::{HarnessError, LinkRate};

/// Size of the copy buffer in each direction.
const BUFFER_BYTES: usize = 16 << 10;
/// Bytes that a trickling link forwards at a time, and the pause after each such part.
const TRICKLE_BYTES: usize = 64;
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// How a link treats its connections and their data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Forwards everything.
    Open,
    /// Closes open connections and closes new ones immediately, as if the port were closed.
    Refusing,
    /// Keeps open connections and accepts new ones, but forwards nothing.
    Silent,
    /// Resets open and new connections.
    Resetting,
    /// Forwards each chunk after this delay.
    Delayed(Duration),
    /// Forwards only data from the client. A connection that loses data from the target forwards
    /// none of it any more, also after a change of state.
    OneWay,
    /// Forwards a few bytes at a time.
    Trickling,
}

/// Direction in which a chunk is forwarded.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LinkDirection {
    ToTarget,
    ToClient,
}

/// Listens on a port of its own and forwards connections to a target address.
#[derive(Debug)]
pub struct LinkRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: AbortHandle,
}

impl LinkRelay {
    /// Listens on a free port and forwards connections to `target`.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if no port is free.
    pub async fn bind(target: SocketAddr) -> Result<Self, HarnessError> {
        Self::bind_at(SocketAddr::from(([127, 0, 0, 1], 0)), target, None).await
    }

    /// Listens at `address` and forwards connections to `target`. What the target sends passes at
    /// `rate`, if one is given.
    ///
    /// # Errors
    /// [`HarnessError::Io`] if the address can't be listened on.
    pub async fn bind_at(
        address: SocketAddr,
        target: SocketAddr,
        rate: Option<Arc<LinkRate>>,
    ) -> Result<Self, HarnessError> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.context(IoSnafu { what: "bind a link" })?;
        let address = listener.local_addr().context(IoSnafu { what: "read a link's port" })?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let accepting = accept_loop(listener, target, Arc::clone(&state), rate);
        let task = tokio::spawn(accepting).abort_handle();
        Ok(Self { address, state, task })
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state, also for open connections.
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
    rate: Option<Arc<LinkRate>>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(forward(stream, target, state.subscribe(), rate.clone()));
    }
}

/// Forwards one connection. A connection that went silent stays silent for good, like one whose
/// state a middlebox has dropped.
async fn forward(
    mut client_side: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    rate: Option<Arc<LinkRate>>,
) {
    let first = *state.borrow_and_update();
    match first {
        LinkState::Refusing => return,
        LinkState::Resetting => return reset(&client_side),
        LinkState::Silent => return hold_until_refused(client_side, state).await,
        LinkState::Open | LinkState::Delayed(_) | LinkState::OneWay | LinkState::Trickling => {}
    }
    let Ok(mut target_side) = TcpStream::connect(target).await else { return reset(&client_side) };
    let _ = (client_side.set_nodelay(true), target_side.set_nodelay(true));
    let chunk_state = state.clone();
    let changed = async {
        let final_states = [LinkState::Refusing, LinkState::Resetting, LinkState::Silent];
        let ended = state.wait_for(|state| final_states.contains(state)).await;
        ended.map_or(LinkState::Refusing, |state| *state)
    };
    let forwarded = async {
        let ((client_read, client_write), (target_read, target_write)) =
            (client_side.split(), target_side.split());
        let to_target =
            copy_bytes(client_read, target_write, LinkDirection::ToTarget, &chunk_state, None);
        let to_client = copy_bytes(
            target_read,
            client_write,
            LinkDirection::ToClient,
            &chunk_state,
            rate.as_deref(),
        );
        tokio::try_join!(to_target, to_client)
    };
    let ended = tokio::select! {
        result = forwarded => if result.is_err() { LinkState::Resetting } else { LinkState::Refusing },
        now = changed => now,
    };
    match ended {
        LinkState::Silent => hold_until_refused(client_side, state).await,
        LinkState::Resetting => {
            reset(&client_side);
            reset(&target_side);
        }
        _ => {}
    }
}

/// Copies bytes until the end of input. The end of input isn't forwarded if data was lost before it.
async fn copy_bytes(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    direction: LinkDirection,
    state: &watch::Receiver<LinkState>,
    rate: Option<&LinkRate>,
) -> io::Result<()> {
    let mut chunk = vec![0; BUFFER_BYTES];
    let mut is_lost = false;
    loop {
        let count = from.read(&mut chunk).await?;
        if let Some(rate) = rate {
            rate.pass(count).await;
        }
        let now = *state.borrow();
        is_lost |= direction == LinkDirection::ToClient && now == LinkState::OneWay;
        match now {
            _ if is_lost && count == 0 => return Ok(()),
            _ if is_lost => {}
            _ if count == 0 => return to.shutdown().await,
            LinkState::Trickling => trickle(&chunk[..count], &mut to, state).await?,
            LinkState::Delayed(time) => {
                tokio::time::sleep(time).await;
                to.write_all(&chunk[..count]).await?;
            }
            _ => to.write_all(&chunk[..count]).await?,
        }
    }
}

async fn trickle(
    chunk: &[u8],
    to: &mut (impl AsyncWrite + Unpin),
    state: &watch::Receiver<LinkState>,
) -> io::Result<()> {
    for slice in chunk.chunks(TRICKLE_BYTES) {
        to.write_all(slice).await?;
        if *state.borrow() == LinkState::Trickling {
            tokio::time::sleep(TRICKLE_PAUSE).await;
        }
    }
    Ok(())
}

/// Makes the drop of `stream` reset the connection instead of closing it.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn hold_until_refused(client_side: TcpStream, mut state: watch::Receiver<LinkState>) {
    let final_states = [LinkState::Refusing, LinkState::Resetting];
    let _ = state.wait_for(|state| final_states.contains(state)).await;
    drop(client_side);
}
