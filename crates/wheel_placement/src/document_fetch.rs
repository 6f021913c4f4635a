//! Fetches the documents that this instance lacks.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use wheel_agreement::StoredDocument;
use wheel_control::DocumentState;
use wheel_peer::{PeerAddress, PeerChannel, PeerHub};
use wheel_route::{DocumentPart, DocumentRequest, TransferId, TransferProgress};
use wheel_types::InstanceName;

use crate::document_codec::decode_document;

/// Time limit for one part, whose size doesn't grow with the document.
const PART_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a part after which another control instance is used, if one is known to reply.
const STALL_TIME: Duration = Duration::from_millis(300);
/// Pause after a control instance that gave no part.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Largest document that is taken, in bytes; operators can't submit larger ones.
const MAX_DOCUMENT_BYTES: u64 = 8 << 20;

/// A version to fetch, and a control instance that holds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct WantedDocument {
    version: u64,
    control: SocketAddr,
}

/// A transfer that isn't complete.
struct OpenTransfer {
    id: TransferId,
    base: Option<Arc<StoredDocument>>,
    size: u64,
    document_size: u64,
    received: Vec<u8>,
    began: Instant,
}

impl OpenTransfer {
    fn progress(&self) -> TransferProgress {
        TransferProgress { transfer: self.id, received: self.received.len() as u64 }
    }
}

/// Why the parts of a transfer make no document.
struct BrokenTransfer(String);

/// Fetches one document at a time, part by part. A transfer goes on where it stood, also from
/// another control instance, and is completed before a newer version is fetched.
pub struct DocumentFetch {
    hub: PeerHub,
    documents: Arc<DocumentState>,
    wanted: watch::Sender<Option<WantedDocument>>,
}

impl DocumentFetch {
    /// Starts fetching whatever is requested into `documents`.
    pub fn spawn(hub: PeerHub, documents: Arc<DocumentState>) -> Arc<Self> {
        let fetch = Arc::new(Self { hub, documents, wanted: watch::Sender::new(None) });
        tokio::spawn(Arc::clone(&fetch).run());
        fetch
    }

    /// Requests a version that `control` holds. Does nothing if one as new is held here.
    pub fn request(&self, version: u64, control: SocketAddr) {
        let request = WantedDocument { version, control };
        self.wanted.send_if_modified(|wanted| {
            let is_changed = version > self.documents.version() && *wanted != Some(request);
            if is_changed {
                *wanted = Some(request);
            }
            is_changed
        });
    }

    /// The version that is being fetched.
    pub fn awaited(&self) -> Option<u64> {
        let wanted = self.wanted.borrow().map(|wanted| wanted.version);
        wanted.filter(|version| *version > self.documents.version())
    }

    async fn run(self: Arc<Self>) {
        let mut changes = self.wanted.subscribe();
        let mut open = None;
        let mut uses_base = true;
        loop {
            let wanted = *changes.borrow_and_update();
            let held = self.documents.version();
            let Some(wanted) = wanted.filter(|wanted| wanted.version > held) else {
                open = None;
                if changes.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let is_current = |open: &OpenTransfer| open.id.version > held;
            let mut before = open.take().filter(is_current);
            let part = tokio::select! {
                part = self.fetch_part(wanted, before.as_ref(), uses_base) => part,
                () = self.other_control(wanted.control) => None,
            };
            match part.map(|part| self.take_part(wanted, before.take(), &part)) {
                Some(Ok(next)) => {
                    uses_base |= next.is_none();
                    open = next;
                }
                Some(Err(broken)) => {
                    warn!("document_broken", kv: {
                        version = wanted.version, control = wanted.control.to_string(),
                        reason:? = broken.0
                    });
                    uses_base = false;
                    sleep(FAILURE_PAUSE).await;
                }
                None => {
                    open = before;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Completes when no part has come for some time and another control instance is known.
    async fn other_control(&self, control: SocketAddr) {
        sleep(STALL_TIME).await;
        let is_other = |wanted: &Option<WantedDocument>| {
            wanted.is_some_and(|wanted| wanted.control != control)
        };
        let _ = self.wanted.subscribe().wait_for(is_other).await;
    }

    async fn fetch_part(
        &self,
        wanted: WantedDocument,
        open: Option<&OpenTransfer>,
        uses_base: bool,
    ) -> Option<DocumentPart> {
        let request = DocumentRequest {
            version: wanted.version.min(open.map_or(u64::MAX, |open| open.id.version)),
            base: if uses_base { self.documents.version() } else { 0 },
            progress: open.map(OpenTransfer::progress),
        };
        let body = postcard::to_stdvec(&request).ok()?;
        let name = InstanceName::from(wanted.control.to_string().as_str());
        let address = PeerAddress::new(name, wanted.control);
        let answer = self.hub.call(&address, PeerChannel::Manifest, body, PART_TIMEOUT).await;
        let reason = match answer.map(|answer| postcard::from_bytes(&answer)) {
            Ok(Ok(Some(part))) => return Some(part),
            Ok(Ok(None)) => "it isn't held there".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        info!("document_part_missing", kv: {
            version = wanted.version, control = wanted.control.to_string(), reason:? = reason,
            received_bytes = open.map_or(0, |open| open.received.len())
        });
        None
    }

    /// Appends a part. A complete document is stored, and no transfer is open then.
    fn take_part(
        &self,
        wanted: WantedDocument,
        open: Option<OpenTransfer>,
        part: &DocumentPart,
    ) -> Result<Option<OpenTransfer>, BrokenTransfer> {
        let same = open.filter(|open| open.id == part.transfer);
        let mut open = match same {
            Some(open) => open,
            None => self.begin(part)?,
        };
        let received = open.received.len() as u64;
        if part.offset != received || part.bytes.is_empty() || part.size != open.size {
            return Err(BrokenTransfer("another part than requested".to_owned()));
        }
        open.received.extend_from_slice(&part.bytes);
        match (open.received.len() as u64).cmp(&open.size) {
            Ordering::Less => Ok(Some(open)),
            Ordering::Equal => self.complete(wanted, &open).map(|()| None),
            Ordering::Greater => Err(BrokenTransfer("more bytes than announced".to_owned())),
        }
    }

    /// Begins a transfer with its first part.
    fn begin(&self, part: &DocumentPart) -> Result<OpenTransfer, BrokenTransfer> {
        let base = self.documents.find(part.transfer.base);
        let is_usable = (part.transfer.base == 0 || base.is_some())
            && part.document_size <= MAX_DOCUMENT_BYTES
            && part.size <= MAX_DOCUMENT_BYTES;
        if !is_usable {
            return Err(BrokenTransfer("too large, or for another base".to_owned()));
        }
        Ok(OpenTransfer {
            id: part.transfer,
            base,
            size: part.size,
            document_size: part.document_size,
            received: Vec::new(),
            began: Instant::now(),
        })
    }

    fn complete(&self, wanted: WantedDocument, open: &OpenTransfer) -> Result<(), BrokenTransfer> {
        let version = open.id.version;
        let base = open.base.as_ref().map_or(&[][..], |base| &base.bytes);
        let bytes = decode_document(base, &open.received, open.document_size as usize)
            .map_err(|error| BrokenTransfer(error.to_string()))?;
        info!("document_fetched", kv: {
            version, base = open.id.base, control = wanted.control.to_string(),
            bytes = open.size, document_bytes = open.document_size,
            ms = open.began.elapsed().as_millis()
        });
        self.documents.adopt(&StoredDocument { version, bytes: bytes.into() });
        Ok(())
    }
}
