//! A link between two processes that can be cut.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::HarnessError;
use crate::harness_error::IoSnafu;

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16 << 10;
/// Bytes that a trickling link passes on at once, and the time after each.
const TRICKLE_BYTES: usize = 64;
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// What a link does with what is sent over it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Passes everything on.
    Open,
    /// Closes what is open and refuses what comes, as a closed port does.
    Refusing,
    /// Keeps what is open, accepts what comes, and passes nothing on.
    Silent,
    /// Resets what is open and what comes.
    Resetting,
    /// Passes each piece on after this time.
    Delayed(Duration),
    /// Passes on what callers send; answers are lost from now on, for each connection that has one.
    OneWay,
    /// Passes a few bytes on at a time.
    Trickling,
}

/// The way that a piece goes.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LinkWay {
    There,
    Back,
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
        LinkState::Resetting => return reset(&near),
        LinkState::Silent => return hold_until_refused(near, state).await,
        LinkState::Open | LinkState::Delayed(_) | LinkState::OneWay | LinkState::Trickling => {}
    }
    let Ok(mut far) = TcpStream::connect(target).await else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let pieces = state.clone();
    let changed = async {
        let ends = [LinkState::Refusing, LinkState::Resetting, LinkState::Silent];
        let ended = state.wait_for(|state| ends.contains(state)).await;
        ended.map_or(LinkState::Refusing, |state| *state)
    };
    let passed = async {
        let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
        let there = pump(near_read, far_write, LinkWay::There, &pieces);
        let back = pump(far_read, near_write, LinkWay::Back, &pieces);
        tokio::try_join!(there, back)
    };
    let ended = tokio::select! {
        result = passed => if result.is_err() { LinkState::Resetting } else { LinkState::Refusing },
        now = changed => now,
    };
    match ended {
        LinkState::Silent => hold_until_refused(near, state).await,
        LinkState::Resetting => {
            reset(&near);
            reset(&far);
        }
        _ => {}
    }
}

/// Passes on what is read until it ends; an end after lost pieces isn't told.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    way: LinkWay,
    state: &watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    let mut is_lost = false;
    loop {
        let count = from.read(&mut piece).await?;
        let now = *state.borrow();
        is_lost |= way == LinkWay::Back && now == LinkState::OneWay;
        match now {
            _ if is_lost && count == 0 => return Ok(()),
            _ if is_lost => {}
            _ if count == 0 => return to.shutdown().await,
            LinkState::Trickling => trickle(&piece[..count], &mut to, state).await?,
            LinkState::Delayed(time) => {
                tokio::time::sleep(time).await;
                to.write_all(&piece[..count]).await?;
            }
            _ => to.write_all(&piece[..count]).await?,
        }
    }
}

async fn trickle(
    piece: &[u8],
    to: &mut (impl AsyncWrite + Unpin),
    state: &watch::Receiver<LinkState>,
) -> io::Result<()> {
    for part in piece.chunks(TRICKLE_BYTES) {
        to.write_all(part).await?;
        if *state.borrow() == LinkState::Trickling {
            tokio::time::sleep(TRICKLE_PAUSE).await;
        }
    }
    Ok(())
}

/// Has the end of `stream` reset it instead of closing it.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn hold_until_refused(near: TcpStream, mut state: watch::Receiver<LinkState>) {
    let ends = [LinkState::Refusing, LinkState::Resetting];
    let _ = state.wait_for(|state| ends.contains(state)).await;
    drop(near);
}
