//! Keeps an instance at the newest committed text that it can reach.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use spdlog::{info, warn};
use tokio_util::sync::CancellationToken;
use wheel_agreement::{AcceptedText, TextUpdate, UpdateError, decode, encode};
use wheel_peer::{PeerChannel, PeerHub};
use wheel_types::InstanceName;

use crate::{AddressBook, TextPoll, TextReply, TextState};

/// How long a parent holds a poll that has nothing to say.
const POLL_WAIT: Duration = Duration::from_secs(4);
/// Time beyond [`POLL_WAIT`] after which a parent counts as silent.
const POLL_GRACE: Duration = Duration::from_millis(800);
/// Rounds of which one asks another parent than the best one.
const CHECK_ROUNDS: u64 = 3;
/// Pause after a parent couldn't be asked.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The file in the data folder that holds the last text, for a restart while cut off.
const CACHE_FILE: &str = "text-cache";

/// Settings of a [`TextFollower`].
#[derive(Clone, Debug)]
pub struct FollowerSettings {
    /// This instance.
    pub instance: InstanceName,
    /// The folder where the last text is kept, if there is one.
    pub folder: Option<PathBuf>,
}

/// Names the instances from which the text can be followed, the best one first. The order forms a
/// tree in each data centre, so that no instance feeds many.
pub trait ParentChoice: Send + Sync + 'static {
    /// The instances to ask, best first.
    fn parents(&self) -> Vec<InstanceName>;
}

/// Polls one parent after another; a poll is answered as soon as there is something newer.
pub struct TextFollower {
    settings: FollowerSettings,
    hub: PeerHub,
    book: Arc<dyn AddressBook>,
    choice: Arc<dyn ParentChoice>,
    text: Arc<TextState>,
    stopped: CancellationToken,
}

impl TextFollower {
    /// Starts to follow. The last text is read from the folder first, if there is one.
    pub fn spawn(
        settings: FollowerSettings,
        hub: PeerHub,
        book: Arc<dyn AddressBook>,
        choice: Arc<dyn ParentChoice>,
        text: Arc<TextState>,
    ) -> CancellationToken {
        let stopped = CancellationToken::new();
        let follower = Self { settings, hub, book, choice, text, stopped: stopped.clone() };
        follower.read_cache();
        tokio::spawn(follower.run());
        stopped
    }

    async fn run(self) {
        for number in 0_u64.. {
            let round = self.follow_round(number);
            tokio::select! {
                () = self.stopped.cancelled() => return,
                () = round => {}
            }
        }
    }

    /// Asks the parents in turn until one answers; a new round begins with the best one again. Now
    /// and then another one is asked first: the best one may itself be cut off.
    async fn follow_round(&self, number: u64) {
        let mut parents = self.choice.parents();
        let is_check = number % CHECK_ROUNDS == CHECK_ROUNDS - 1 && parents.len() > 1;
        if is_check {
            let others = parents.len() as u64 - 1;
            parents.rotate_left(1 + (number / CHECK_ROUNDS % others) as usize);
        }
        let wait = if is_check { Duration::ZERO } else { POLL_WAIT };
        for parent in parents {
            if let Some(reply) = self.poll(&parent, wait).await {
                // A parent that follows this very instance has nothing of its own to give.
                if reply.parent.as_ref() == Some(&self.settings.instance) {
                    continue;
                }
                self.take_in(&parent, reply.update);
                return;
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    async fn poll(&self, parent: &InstanceName, wait: Duration) -> Option<TextReply> {
        let (revision, hash) = self.text.held();
        let wait_ms = wait.as_millis() as u64;
        let address = self.book.peer(parent)?;
        let body = encode(&TextPoll { revision, hash, wait_ms }).ok()?;
        let limit = wait + POLL_GRACE;
        let answer = self.hub.call(&address, PeerChannel::Manifest, body, limit).await.ok()?;
        decode(&answer).ok()
    }

    fn take_in(&self, parent: &InstanceName, update: TextUpdate) {
        match self.text.follow(update) {
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
        match decode::<AcceptedText>(&bytes) {
            Ok(text) => {
                info!("text_cache_read", kv: { revision = text.revision.0 });
                let _ = self.text.follow(TextUpdate::Snapshot(text));
            }
            Err(error) => warn!("text_cache_unreadable", kv: { reason:? = error.to_string() }),
        }
    }

    /// A lost cache costs a start while cut off, no more; it is replaced in one step, so that it is
    /// never half written.
    fn write_cache(&self) {
        let Some(path) = self.cache_path() else { return };
        let Ok(bytes) = encode(&self.text.accepted()) else { return };
        let draft = path.with_extension("tmp");
        let written = std::fs::write(&draft, bytes).and_then(|()| std::fs::rename(&draft, &path));
        if let Err(error) = written {
            warn!("text_cache_not_written", kv: { reason:? = error.to_string() });
        }
    }

    fn cache_path(&self) -> Option<PathBuf> {
        self.settings.folder.as_ref().map(|folder| folder.join(CACHE_FILE))
    }
}

/// Answers a poll of another instance, as soon as there is something newer or the wait is over.
pub async fn answer_poll(
    text: &TextState,
    poll: TextPoll,
    parent: Option<InstanceName>,
) -> TextReply {
    let mut changes = text.subscribe();
    let wait = Duration::from_millis(poll.wait_ms).min(POLL_WAIT);
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        let update = text.changes_since(poll.revision, poll.hash);
        if update != TextUpdate::Current {
            return TextReply { update, parent };
        }
        if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
            return TextReply { update, parent };
        }
    }
}
