//! Keeps an instance at the newest committed manifest that it can reach.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use spdlog::{info, warn};
use tokio_util::sync::CancellationToken;
use wheel_agreement::{AcceptedManifest, ManifestUpdate, UpdateError, decode, encode};
use wheel_manifest::ManifestHash;
use wheel_peer::{PeerChannel, PeerHub};
use wheel_types::InstanceName;

use crate::{AddressResolver, ManifestPoll, ManifestReply, ManifestState};

/// How long a parent holds a poll while there is nothing newer.
const POLL_WAIT: Duration = Duration::from_secs(4);
/// Time beyond [`POLL_WAIT`] after which a parent counts as silent.
const POLL_GRACE: Duration = Duration::from_millis(800);
/// One in this many rounds polls another parent than the best one first.
const CHECK_ROUNDS: u64 = 3;
/// Pause after no parent gave an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The file in the data folder that holds the last manifest, for a restart while cut off.
const CACHE_FILE: &str = "text-cache";

/// Settings of a [`ManifestFollower`].
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// This instance.
    pub instance: InstanceName,
    /// The folder where the last manifest is kept, if there is one.
    pub folder: Option<PathBuf>,
}

/// The content of the cache. Nobody compares a text with that of others once revision and hash are theirs, and a
/// loss of power may leave some of a file's bytes unwritten.
#[derive(Deserialize, Serialize)]
struct CachedManifest {
    manifest: AcceptedManifest,
    /// The [`CachedManifest::checksum`] when it was written.
    checksum: ManifestHash,
}

impl CachedManifest {
    fn new(manifest: AcceptedManifest) -> Self {
        let checksum = Self::checksum(&manifest);
        Self { manifest, checksum }
    }

    fn is_intact(&self) -> bool {
        self.checksum == Self::checksum(&self.manifest)
    }

    /// The hash of the manifest with its revision and hash.
    fn checksum(manifest: &AcceptedManifest) -> ManifestHash {
        manifest.hash.chain(&format!("{} {}", manifest.revision.0, manifest.source))
    }
}

/// Lists the instances from which the manifest can be polled, the best one first. The order forms a
/// tree in each data centre, so that no instance serves many.
pub trait ParentSelector: Send + Sync + 'static {
    /// The instances to poll, best first.
    fn parents(&self) -> Vec<InstanceName>;
}

/// Polls one parent after another; a poll is answered as soon as there is something newer.
pub struct ManifestFollower {
    settings: FollowerSettings,
    hub: PeerHub,
    resolver: Arc<dyn AddressResolver>,
    selector: Arc<dyn ParentSelector>,
    manifest: Arc<ManifestState>,
    stopped: CancellationToken,
}

impl ManifestFollower {
    /// Starts polling. The last manifest is read from the folder first, if there is one.
    pub fn spawn(
        settings: FollowerSettings,
        hub: PeerHub,
        resolver: Arc<dyn AddressResolver>,
        selector: Arc<dyn ParentSelector>,
        manifest: Arc<ManifestState>,
    ) -> CancellationToken {
        let stopped = CancellationToken::new();
        let follower =
            Self { settings, hub, resolver, selector, manifest, stopped: stopped.clone() };
        follower.read_cache();
        tokio::spawn(follower.run());
        stopped
    }

    async fn run(self) {
        for number in 0_u64.. {
            let round = self.poll_round(number);
            tokio::select! {
                () = self.stopped.cancelled() => return,
                () = round => {}
            }
        }
    }

    /// Polls the parents in turn until one answers; a new round begins with the best one again.
    /// From time to time another one is polled first, because the best one may itself be cut off.
    async fn poll_round(&self, number: u64) {
        let mut parents = self.selector.parents();
        let is_check = number % CHECK_ROUNDS == CHECK_ROUNDS - 1 && parents.len() > 1;
        if is_check {
            let others = parents.len() as u64 - 1;
            parents.rotate_left(1 + (number / CHECK_ROUNDS % others) as usize);
        }
        let wait = if is_check { Duration::ZERO } else { POLL_WAIT };
        for parent in parents {
            if let Some(reply) = self.poll(&parent, wait).await {
                // A parent that polls this instance itself can't have anything newer.
                if reply.parent.as_ref() == Some(&self.settings.instance) {
                    continue;
                }
                self.apply_update(&parent, reply.update);
                return;
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    async fn poll(&self, parent: &InstanceName, wait: Duration) -> Option<ManifestReply> {
        let (revision, hash) = self.manifest.current_revision();
        let wait_ms = wait.as_millis() as u64;
        let address = self.resolver.peer_address(parent)?;
        let body = encode(&ManifestPoll { revision, hash, wait_ms }).ok()?;
        let limit = wait + POLL_GRACE;
        let answer = self.hub.call(&address, PeerChannel::Manifest, body, limit).await.ok()?;
        decode(&answer).ok()
    }

    fn apply_update(&self, parent: &InstanceName, update: ManifestUpdate) {
        match self.manifest.apply(update) {
            Ok(()) => self.write_cache(),
            Err(UpdateError::Stale) => {}
            Err(UpdateError::Broken) => {
                warn!("text_update_broken", kv: { parent = parent.as_str() });
            }
        }
    }

    fn read_cache(&self) {
        let Some(path) = self.cache_path() else { return };
        let Ok(bytes) = std::fs::read(&path) else { return };
        match decode::<CachedManifest>(&bytes) {
            Ok(cached) if cached.is_intact() => {
                let CachedManifest { manifest, .. } = cached;
                info!("text_cache_read", kv: { revision = manifest.revision.0 });
                let _ = self.manifest.apply(ManifestUpdate::Snapshot(manifest));
            }
            Ok(_) => warn!("text_cache_unreadable", kv: { reason = "it isn't what was written" }),
            Err(error) => warn!("text_cache_unreadable", kv: { reason:? = error.to_string() }),
        }
    }

    /// A lost cache only prevents a start while cut off; it is replaced atomically, so that it is
    /// never half written.
    fn write_cache(&self) {
        let Some(path) = self.cache_path() else { return };
        let Ok(bytes) = encode(&CachedManifest::new(self.manifest.accepted())) else { return };
        let temporary = path.with_extension("tmp");
        let written =
            std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, &path));
        if let Err(error) = written {
            warn!("text_cache_not_written", kv: { reason:? = error.to_string() });
        }
    }

    fn cache_path(&self) -> Option<PathBuf> {
        self.settings.folder.as_ref().map(|folder| folder.join(CACHE_FILE))
    }
}

/// Answers a poll of another instance once there is something newer or the wait is over.
pub async fn answer_poll(
    manifest: &ManifestState,
    poll: ManifestPoll,
    parent: Option<InstanceName>,
) -> ManifestReply {
    let mut changes = manifest.subscribe();
    let wait = Duration::from_millis(poll.wait_ms).min(POLL_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        let update = manifest.changes_since(poll.revision, poll.hash);
        if update != ManifestUpdate::Current {
            return ManifestReply { update, parent };
        }
        if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
            return ManifestReply { update, parent };
        }
    }
}
