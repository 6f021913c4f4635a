//! Sends documents to the instances that lack them.

use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;
use spdlog::warn;
use tokio::sync::Mutex;
use wheel_agreement::StoredDocument;
use wheel_control::DocumentState;
use wheel_route::{DocumentPart, DocumentRequest, TransferId};

use crate::document_codec::encode_document;

/// Largest part of a transfer in bytes. On a slow link, other messages wait for it.
const PART_BYTES: usize = 32 << 10;
/// Number of encoded documents that are kept.
const MAX_ENCODED: NonZeroUsize = NonZeroUsize::new(12).expect("not 0");

/// An encoded document.
struct EncodedDocument {
    transfer: TransferId,
    document_size: usize,
    bytes: Vec<u8>,
}

/// Answers requests for documents from those that are held here. Each is encoded once for each base
/// that instances hold.
pub struct DocumentSource {
    documents: Arc<DocumentState>,
    encoded: Mutex<LruCache<(u64, u64), Arc<EncodedDocument>>>,
}

impl DocumentSource {
    /// Creates a source of `documents`.
    pub fn new(documents: Arc<DocumentState>) -> Self {
        Self { documents, encoded: Mutex::new(LruCache::new(MAX_ENCODED)) }
    }

    /// The next part of the transfer that the request resumes, or else the first part of the newest
    /// document; `None` if the wanted version isn't held here.
    pub async fn answer(&self, request: &DocumentRequest) -> Option<DocumentPart> {
        let resumed = request.progress.filter(|progress| self.can_resume(progress.transfer));
        let (document, base) = match resumed {
            Some(progress) => {
                (self.documents.find(progress.transfer.version)?, progress.transfer.base)
            }
            None => (self.documents.current()?, request.base),
        };
        if document.version < request.version {
            return None;
        }
        let base = self.documents.find(base);
        let encoded = self.encode(base, document).await?;
        let offset = match resumed {
            Some(progress) if progress.transfer == encoded.transfer => progress.received as usize,
            _ => 0,
        };
        let end = encoded.bytes.len().min(offset.saturating_add(PART_BYTES));
        Some(DocumentPart {
            transfer: encoded.transfer,
            size: encoded.bytes.len() as u64,
            document_size: encoded.document_size as u64,
            offset: offset as u64,
            bytes: encoded.bytes.get(offset..end)?.to_vec(),
        })
    }

    /// Whether a transfer can be made again: both of its documents are held.
    fn can_resume(&self, transfer: TransferId) -> bool {
        let is_held = |version: u64| self.documents.find(version).is_some();
        is_held(transfer.version) && (transfer.base == 0 || is_held(transfer.base))
    }

    async fn encode(
        &self,
        base: Option<Arc<StoredDocument>>,
        document: Arc<StoredDocument>,
    ) -> Option<Arc<EncodedDocument>> {
        let key = (base.as_ref().map_or(0, |base| base.version), document.version);
        // Held while encoding, so that requests for the same bytes wait for them.
        let mut cache = self.encoded.lock().await;
        if let Some(encoded) = cache.get(&key) {
            return Some(Arc::clone(encoded));
        }
        let task = tokio::task::spawn_blocking(move || {
            let base = base.as_ref().map_or(&[][..], |base| &base.bytes);
            let bytes = encode_document(base, &document.bytes)?;
            let digest = blake3::hash(&bytes);
            let digest =
                digest.as_bytes().first_chunk().map_or(0, |head| u64::from_le_bytes(*head));
            let transfer = TransferId { version: key.1, base: key.0, digest };
            Ok(EncodedDocument { transfer, document_size: document.bytes.len(), bytes })
        });
        let encoded: std::io::Result<EncodedDocument> = task.await.ok()?;
        match encoded {
            Ok(encoded) => {
                let encoded = Arc::new(encoded);
                cache.put(key, Arc::clone(&encoded));
                Some(encoded)
            }
            Err(error) => {
                warn!("document_not_encoded", kv: { version = key.1, reason:? = error.to_string() });
                None
            }
        }
    }
}
