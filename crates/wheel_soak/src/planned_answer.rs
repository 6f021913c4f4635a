//! An upstream stub's answer as bytes, and how a fault changes it.

use std::io;
use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

use crate::wire_server::ConnectionAction;
use crate::{AnswerPhase, HeadPart, ResumeAnswer, UpstreamFault};

/// Number of bytes of a header's name before an answer stops in it.
const NAME_PART_BYTES: usize = 5;
/// The end of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Additional delay of a late answer.
const LATE_DELAY: Duration = Duration::from_millis(2_500);
/// Bytes without end are sent in pieces of this size with a pause between them, so that the soak
/// itself doesn't use all of the machine.
static ENDLESS_PIECE: [u8; 64 * 1024] = [b'x'; 64 * 1024];
const ENDLESS_PAUSE: Duration = Duration::from_millis(4);

/// An answer in chunks, with a pause before each.
pub(crate) struct PlannedAnswer {
    pub(crate) chunks: Vec<Vec<u8>>,
    /// Size of the head, which the first chunk begins with, in bytes.
    pub(crate) head_size: usize,
    pub(crate) pause: Duration,
    /// The complete body; `None` if it isn't that of the request.
    pub(crate) body: Option<Vec<u8>>,
}

impl PlannedAnswer {
    /// The chunk in which a fault acts, and the number of its bytes that are sent before.
    fn fault_position(&self, fault: Option<UpstreamFault>) -> Option<(usize, usize)> {
        let middle = self.chunks.len() / 2;
        let size = self.chunks[middle].len();
        match fault? {
            UpstreamFault::Hang => Some((middle, 0)),
            UpstreamFault::Cut | UpstreamFault::Closed => Some((middle, size / 2)),
            UpstreamFault::Silent(AnswerPhase::Head)
            | UpstreamFault::Endless(AnswerPhase::Head) => Some((0, 0)),
            UpstreamFault::Silent(AnswerPhase::Middle) if middle > 0 => Some((middle, size / 2)),
            UpstreamFault::Silent(AnswerPhase::Middle) => Some((0, self.head_size.midpoint(size))),
            UpstreamFault::Endless(AnswerPhase::Middle) if middle > 0 => Some((middle, 0)),
            UpstreamFault::Silent(_) | UpstreamFault::Endless(_) | UpstreamFault::HeadOnly => {
                Some((0, self.head_size))
            }
            UpstreamFault::StopsInHead { part, .. } => Some((0, self.head_position(part))),
            // An answer that only has its end left is sent whole.
            UpstreamFault::Breaks if self.chunks.len() > 2 => Some((1, self.chunks[1].len())),
            _ => None,
        }
    }

    /// Number of bytes of the head before `part` of it.
    fn head_position(&self, part: HeadPart) -> usize {
        let head = &self.chunks[0][..self.head_size];
        let line_ends = head.windows(2).enumerate().filter(|(_, pair)| *pair == b"\r\n");
        let mut line_starts = line_ends.map(|(at, _)| at + 2);
        match part {
            HeadPart::HeaderName => {
                line_starts.next().map_or(self.head_size, |start| start + NAME_PART_BYTES)
            }
            HeadPart::HeaderLine => line_starts.nth(1).unwrap_or(self.head_size),
            HeadPart::Length => self.head_size - HEAD_END.len() - 1,
            HeadPart::Unbounded => self.head_size,
            HeadPart::LastBreak => self.head_size - HEAD_END.len() / 2,
        }
    }

    pub(crate) async fn write(
        &self,
        to: &mut (impl AsyncWrite + Unpin),
        fault: Option<UpstreamFault>,
        silence: Duration,
    ) -> io::Result<ConnectionAction> {
        match fault {
            Some(UpstreamFault::Late) => tokio::time::sleep(LATE_DELAY).await,
            Some(UpstreamFault::Unframed) => {
                to.write_all(b"\x00\x17unframed\r\n\r\n").await?;
                return Ok(ConnectionAction::Close);
            }
            _ => {}
        }
        let position = self.fault_position(fault);
        for (number, chunk) in self.chunks.iter().enumerate() {
            tokio::time::sleep(self.pause).await;
            let (_, size) = position.filter(|(at, _)| *at == number).unwrap_or((0, chunk.len()));
            to.write_all(&chunk[..size]).await?;
            match fault.filter(|_| position.is_some_and(|(at, _)| at == number)) {
                Some(UpstreamFault::Hang | UpstreamFault::HeadOnly) => std::future::pending().await,
                Some(
                    UpstreamFault::Cut
                    | UpstreamFault::Breaks
                    | UpstreamFault::StopsInHead { is_reset: true, .. },
                ) => {
                    // Data written immediately before a reset may be lost.
                    tokio::time::sleep(self.pause).await;
                    return Ok(ConnectionAction::Reset);
                }
                Some(
                    UpstreamFault::Closed | UpstreamFault::StopsInHead { is_reset: false, .. },
                ) => return Ok(ConnectionAction::Close),
                Some(UpstreamFault::Silent(_)) => tokio::time::sleep(silence).await,
                Some(UpstreamFault::Endless(phase)) => {
                    if phase == AnswerPhase::Head {
                        to.write_all(b"HTTP/1.1 200 OK\r\nx-endless: ").await?;
                    }
                    let piece = endless_piece(phase);
                    loop {
                        to.write_all(&piece).await?;
                        tokio::time::sleep(ENDLESS_PAUSE).await;
                    }
                }
                _ => {}
            }
            to.write_all(&chunk[size..]).await?;
        }
        match fault {
            Some(UpstreamFault::Doubled) => to.write_all(&self.chunks.concat()).await?,
            Some(UpstreamFault::Resumes(ResumeAnswer::ClosedHead)) if self.body.is_none() => {
                return Ok(ConnectionAction::Close);
            }
            _ => {}
        }
        Ok(ConnectionAction::Keep)
    }
}

/// The bytes that a faulty upstream repeats without end.
fn endless_piece(phase: AnswerPhase) -> Vec<u8> {
    match phase {
        AnswerPhase::Head => ENDLESS_PIECE.to_vec(),
        _ => {
            let size = format!("{:x}\r\n", ENDLESS_PIECE.len());
            [size.as_bytes(), &ENDLESS_PIECE, b"\r\n"].concat()
        }
    }
}
