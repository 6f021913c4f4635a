//! Answers of owned upstreams, with the slots that they hold.

use bytes::Bytes;
use wheel_upstream::{CallFailure, ServiceAnswer, StreamEvent, TokenStream};

use crate::{SlotGuard, UsageGuard};

/// The answer to a generation.
pub(crate) enum OwnedAnswer {
    Stream(Box<OwnedStream>),
    Whole(OwnedWhole),
}

/// A streamed generation; dropping it frees the slot and cancels the rest.
pub(crate) struct OwnedStream {
    pub(crate) slot: SlotGuard,
    pub(crate) _usage: UsageGuard,
    pub(crate) stream: TokenStream,
}

impl OwnedStream {
    /// The next event of the engine.
    pub(crate) async fn next(&mut self) -> Result<StreamEvent, CallFailure> {
        let event = self.stream.next().await?;
        self.slot.record_first_byte();
        Ok(event)
    }
}

/// A whole generation.
pub(crate) struct OwnedWhole {
    pub(crate) body: Bytes,
    pub(crate) _slot: SlotGuard,
    pub(crate) _usage: UsageGuard,
}

/// A plain service's answer, whose body isn't read yet.
pub(crate) struct OwnedPlain {
    pub(crate) answer: ServiceAnswer,
    pub(crate) slot: SlotGuard,
}
