//! A streamed generation.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use tokio::runtime::Handle;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LinesCodec, LinesCodecError};
use wheel_memory::ByteLease;

use crate::cancel_guard::CancelGuard;
use crate::{AnswerBody, CallFailure, FailureKind};

const DONE: &str = "[DONE]";
const DRAIN_LIMIT: Duration = Duration::from_secs(1);

/// One token of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenEvent {
    /// Its index; the first token of a request has index 0.
    pub index: u64,
    /// The data of the event: an OpenAI chunk in JSON.
    pub data: Bytes,
    /// Whether it is the last token of the request.
    pub is_last: bool,
}

/// What a stream yields.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// The next token.
    Token(TokenEvent),
    /// The end marker: every token was received.
    End,
}

/// The tokens of one request, each exactly once and in order.
///
/// A duplicate event is dropped. A missing one, one of another request, silence or an end without
/// the engine's end marker after the last token is a failure; [`TokenStream::next_index`] is then the
/// index to resume from. Dropping a stream before its end cancels the request at the engine.
pub struct TokenStream {
    body: Option<AnswerBody>,
    lines: LinesCodec,
    buffer: BytesMut,
    lease: ByteLease,
    next_index: u64,
    /// Whether the last token has been read.
    has_last: bool,
    /// The event that [`TokenStream::begin`] has read and [`TokenStream::next`] has yet to yield.
    first: Option<StreamEvent>,
    guard: CancelGuard,
}

impl TokenStream {
    pub(crate) fn new(body: AnswerBody, guard: CancelGuard, next_index: u64) -> Self {
        let max_length = guard.core().pool.limits().max_event_bytes;
        let lines = LinesCodec::new_with_max_length(max_length);
        Self {
            lease: body.lease(),
            body: Some(body),
            lines,
            buffer: BytesMut::new(),
            next_index,
            has_last: false,
            first: None,
            guard,
        }
    }

    /// Waits for the first event, which the next call of [`TokenStream::next`] yields. An engine
    /// may send the head of its answer long before: until its first event it can still fail, and
    /// the request can still be answered in any way. Cancel-safe.
    ///
    /// # Errors
    /// As for [`TokenStream::next`].
    pub async fn begin(&mut self) -> Result<(), CallFailure> {
        if self.first.is_none() {
            self.first = Some(self.next().await?);
        }
        Ok(())
    }

    /// The index of the next token; all before it have been read.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// The next event. Cancel-safe: if the future is dropped, the next call continues from there.
    ///
    /// # Errors
    /// [`CallFailure`] if the stream fails, and with [`FailureKind::CutShort`] after an end or an
    /// earlier failure.
    pub async fn next(&mut self) -> Result<StreamEvent, CallFailure> {
        if let Some(event) = self.first.take() {
            return Ok(event);
        }
        match self.read_event().await {
            Ok(event) => Ok(event),
            Err(kind) => Err(self.fail(kind)),
        }
    }

    async fn read_event(&mut self) -> Result<StreamEvent, FailureKind> {
        loop {
            match self.lines.decode(&mut self.buffer) {
                Ok(Some(line)) => match self.read_line(line)? {
                    Some(event) => return Ok(event),
                    None => continue,
                },
                Ok(None) => {}
                Err(LinesCodecError::MaxLineLengthExceeded) => return Err(FailureKind::TooLarge),
                Err(error) => return Err(FailureKind::BadAnswer { message: error.to_string() }),
            }
            let Some(body) = &mut self.body else { return Err(FailureKind::CutShort) };
            match body.next().await {
                Ok(Some(piece)) => {
                    let size = self.buffer.len() + piece.len();
                    let leased = self.lease.resize(size);
                    leased.map_err(|refused| FailureKind::NoMemory { refused })?;
                    self.buffer.extend_from_slice(&piece);
                }
                Ok(None) => return Err(FailureKind::CutShort),
                Err(failure) => return Err(failure.kind),
            }
        }
    }

    /// Reads one line of the event stream; comments, other fields and blank lines are skipped.
    fn read_line(&mut self, line: String) -> Result<Option<StreamEvent>, FailureKind> {
        let Some(data) = line.strip_prefix("data:").map(str::trim_start) else { return Ok(None) };
        if data == DONE {
            if !self.has_last {
                return Err(FailureKind::CutShort);
            }
            self.end();
            return Ok(Some(StreamEvent::End));
        }
        let core = self.guard.core();
        let key = core.dialect.token_key(data.as_bytes())?;
        match key.index {
            _ if key.id != self.guard.request().as_str() => {
                core.pool.counters.foreign_answers.add_one();
                Err(FailureKind::ForeignAnswer)
            }
            found if found > self.next_index => {
                Err(FailureKind::TokenGap { expected: self.next_index, found })
            }
            found if found < self.next_index => {
                core.pool.counters.duplicate_events.add_one();
                Ok(None)
            }
            index => {
                self.next_index += 1;
                self.has_last = key.is_last;
                let is_last = key.is_last;
                let start = line.len() - data.len();
                let data = Bytes::from(line).slice(start..);
                Ok(Some(StreamEvent::Token(TokenEvent { index, data, is_last })))
            }
        }
    }

    fn end(&mut self) {
        self.guard.disarm();
        let Some(mut body) = self.body.take() else { return };
        // The connection can be reused only after the end of the body, which usually has arrived.
        let at_end = body.next().now_or_never().is_some();
        match Handle::try_current() {
            Ok(runtime) if !at_end => {
                runtime.spawn(async move { timeout(DRAIN_LIMIT, body.next()).await.map(drop) });
            }
            _ => {}
        }
    }

    fn fail(&mut self, kind: FailureKind) -> CallFailure {
        self.buffer.clear();
        match self.body.take() {
            Some(mut body) => body.fail(kind),
            None => CallFailure::maybe_sent(kind),
        }
    }
}
