//! Messages that transfer a configuration's document between instances, part by part.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies the bytes of one transfer, which are the same at every instance that sends it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransferId {
    /// The version of the document.
    pub version: u64,
    /// The version whose document is needed to decode the transfer; 0 if none is.
    pub base: u64,
    /// Hash of the encoded bytes.
    pub digest: u64,
}

/// How much of a transfer has arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransferProgress {
    /// The transfer.
    pub transfer: TransferId,
    /// Bytes of it that have arrived.
    pub received: u64,
}

/// Requests the next part of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentRequest {
    /// The lowest version that is wanted.
    pub version: u64,
    /// The version held by the requesting instance; 0 without one.
    pub base: u64,
    /// The transfer to resume, if one has begun.
    pub progress: Option<TransferProgress>,
}

/// One part of a transfer.
#[derive(Clone, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentPart {
    /// The transfer; not the requested one if that can't be resumed.
    pub transfer: TransferId,
    /// Size of the whole transfer, in bytes.
    pub size: u64,
    /// Size of the document, in bytes.
    pub document_size: u64,
    /// Where this part begins in the transfer.
    pub offset: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Without the bytes, which contain teams' keys.
impl fmt::Debug for DocumentPart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = formatter.debug_struct("DocumentPart");
        text.field("transfer", &self.transfer).field("offset", &self.offset);
        text.field("size", &self.bytes.len()).finish_non_exhaustive()
    }
}
