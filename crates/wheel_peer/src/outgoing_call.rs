//! A call to another instance.

use std::cell::Cell;
use std::future::{Future, ready};

use futures_util::{FutureExt, StreamExt, TryStreamExt, stream};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::hub_context::PIECE_BYTES;
use crate::peer_capnp::{Failure, call_answer, download, upload, upload_answer};
use crate::peer_connection::PeerConnection;
use crate::{PeerAddress, PeerChannel, PeerError};

/// Pieces of a body that are sent before the first of them is answered: [`PIECE_BYTES`] together, for
/// which a small call may have to wait. One large piece at a time would leave the connection idle for
/// a round trip after each.
const UNANSWERED_PIECES: usize = 4;

/// A call from a handle, with the channel for its outcome.
pub(crate) struct OutgoingCall {
    pub(crate) peer: PeerAddress,
    pub(crate) channel: PeerChannel,
    pub(crate) body: Vec<u8>,
    pub(crate) deadline: Instant,
    pub(crate) reply: oneshot::Sender<Result<Vec<u8>, PeerError>>,
}

impl OutgoingCall {
    /// Sends the call and reads its answer; sets `sent` before the peer can run the call.
    pub(crate) async fn exchange(
        &self,
        connection: &PeerConnection,
        max_body_bytes: usize,
        sent: &Cell<bool>,
    ) -> Result<Vec<u8>, PeerError> {
        let transfer = CallTransfer { connection, max_body_bytes, sent };
        if self.body.len() <= PIECE_BYTES {
            transfer.send_whole(self.channel, &self.body).await
        } else {
            transfer.send_pieces(self.channel, &self.body).await
        }
    }
}

/// The transfer of one call over one connection.
struct CallTransfer<'a> {
    connection: &'a PeerConnection,
    max_body_bytes: usize,
    sent: &'a Cell<bool>,
}

impl CallTransfer<'_> {
    async fn send_whole(&self, channel: PeerChannel, body: &[u8]) -> Result<Vec<u8>, PeerError> {
        let mut request = self.connection.session.call_request();
        request.get().set_channel(channel.to_wire() as u16);
        request.get().set_body(body);
        self.sent.set(true);
        self.connection.record_request();
        let response = request.send().promise.await.map_err(|_| self.lost())?;
        let results = response.get().map_err(|_| self.lost())?;
        self.read_answer(results.get_answer().map_err(|_| self.lost())?).await
    }

    async fn send_pieces(&self, channel: PeerChannel, body: &[u8]) -> Result<Vec<u8>, PeerError> {
        let upload = self.start_upload(channel, body.len()).await?;
        self.write_pieces(&upload, body).await?;
        self.sent.set(true);
        self.connection.record_request();
        let response = upload.finish_request().send().promise.await.map_err(|_| self.lost())?;
        let results = response.get().map_err(|_| self.lost())?;
        self.read_answer(results.get_answer().map_err(|_| self.lost())?).await
    }

    async fn write_pieces(&self, upload: &upload::Client, body: &[u8]) -> Result<(), PeerError> {
        let _permit = self.connection.transfers.acquire().await.map_err(|_| self.lost())?;
        stream::iter(body.chunks(PIECE_BYTES / UNANSWERED_PIECES))
            .map(|piece| self.write_piece(upload, piece))
            .buffered(UNANSWERED_PIECES)
            .try_for_each(|()| ready(Ok(())))
            .await
    }

    /// Sends a piece, and returns the wait for its answer. Pieces arrive in the order of these calls.
    fn write_piece(
        &self,
        upload: &upload::Client,
        piece: &[u8],
    ) -> impl Future<Output = Result<(), PeerError>> {
        let mut request = upload.write_request();
        request.get().set_piece(piece);
        self.connection.record_request();
        request.send().promise.map(|answer| answer.map(drop).map_err(|_| self.lost()))
    }

    async fn start_upload(
        &self,
        channel: PeerChannel,
        size: usize,
    ) -> Result<upload::Client, PeerError> {
        let mut request = self.connection.session.upload_request();
        request.get().set_channel(channel.to_wire() as u16);
        request.get().set_size(size as u32);
        self.connection.record_request();
        let response = request.send().promise.await.map_err(|_| self.lost())?;
        let results = response.get().map_err(|_| self.lost())?;
        let answer = results.get_answer().map_err(|_| self.lost())?;
        match answer.which().map_err(|_| self.lost())? {
            upload_answer::Upload(upload) => upload.map_err(|_| self.lost()),
            upload_answer::Failure(failure) => {
                Err(self.refused(failure.map_err(|_| self.lost())?, size))
            }
        }
    }

    async fn read_answer(&self, answer: call_answer::Reader<'_>) -> Result<Vec<u8>, PeerError> {
        match answer.which().map_err(|_| self.lost())? {
            call_answer::Whole(bytes) => Ok(bytes.map_err(|_| self.lost())?.to_vec()),
            call_answer::Pieces(pieces) => {
                let download = pieces.get_download().map_err(|_| self.lost())?;
                self.read_pieces(&download, pieces.get_size() as usize).await
            }
            call_answer::Refused(reason) => {
                let reason = reason.map_err(|_| self.lost())?;
                let reason = String::from_utf8_lossy(reason.as_bytes()).into_owned();
                Err(PeerError::Refused { reason })
            }
            call_answer::Failure(failure) => {
                Err(self.refused(failure.map_err(|_| self.lost())?, 0))
            }
        }
    }

    async fn read_pieces(
        &self,
        download: &download::Client,
        size: usize,
    ) -> Result<Vec<u8>, PeerError> {
        let _permit = self.connection.transfers.acquire().await.map_err(|_| self.lost())?;
        if size > self.max_body_bytes {
            return Err(PeerError::TooLarge { size, limit: self.max_body_bytes });
        }
        let mut bytes = Vec::new();
        while bytes.len() < size {
            self.connection.record_request();
            let response = download.read_request().send().promise.await;
            let response = response.map_err(|_| self.lost())?;
            let piece = response.get().and_then(|results| results.get_piece());
            let piece = piece.map_err(|_| self.lost())?;
            if piece.is_empty() || bytes.len() + piece.len() > size {
                return Err(self.lost());
            }
            bytes.extend_from_slice(piece);
        }
        Ok(bytes)
    }

    fn refused(&self, failure: Failure, size: usize) -> PeerError {
        match failure {
            Failure::Overloaded => PeerError::Overloaded,
            Failure::TooLarge => PeerError::TooLarge { size, limit: self.max_body_bytes },
            Failure::UnknownChannel => PeerError::UnknownChannel,
            Failure::ShuttingDown => PeerError::ShuttingDown,
            Failure::HandlerFailed => PeerError::HandlerFailed,
        }
    }

    fn lost(&self) -> PeerError {
        PeerError::Lost { sent: self.sent.get() }
    }
}
