//! A control instance as a participant of the group.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use snafu::{ResultExt, Snafu};
use spdlog::{info, warn};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use wheel_agreement::{
    FolderIdentity, GroupAction, GroupLimits, NodeId, RaftMessage, RaftNode, RaftSettings,
    RaftStatus, VoterChange,
};
use wheel_peer::PeerHub;
use wheel_types::{InstanceName, MonotonicTime};

use crate::control_folder::{ControlFolder, OpenedFolder};
use crate::control_worker::{ControlWorker, WorkerInput};
use crate::peer_sender::PeerSender;
use crate::worker_shared::WorkerShared;
use crate::{
    AddressResolver, DocumentState, FolderError, GroupCall, GroupReply, ManifestState, ReadAnswer,
    SubmitAnswer,
};

/// Inputs queued for the worker; further changes are refused, messages dropped, and questions wait.
const MAX_INPUTS: usize = 4_096;
/// Time between two attempts to queue a question while the queue is full.
const QUEUE_PAUSE: Duration = Duration::from_millis(20);

/// Silence after which a voter is replaced by an empty folder of the same instance, where the group
/// maintains its voters automatically: the empty folder shows that the old one is gone, and
/// messages of the old process have arrived by then.
const REPLACE_FOLDER_AFTER: Duration = Duration::from_millis(1_000);

/// Settings of a [`ControlNode`].
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// This instance.
    pub instance: InstanceName,
    /// The instances that form a new group.
    pub voters: Vec<InstanceName>,
    /// The data folder.
    pub folder: PathBuf,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// The start of this process's [`MonotonicTime`].
    pub start: Instant,
    /// Whether it may form a new group; see [`RaftSettings::may_bootstrap`].
    pub may_bootstrap: bool,
    /// Whether a folder that is created now is the first one of this instance. A majority of the
    /// voters' first folders forms a new group. It must be false once the instance has lost a
    /// folder: the new one would count as the old one, whose votes and entries it doesn't hold.
    pub is_first_folder: bool,
    /// The number of voters that the group maintains automatically; see
    /// [`RaftSettings::target_voters`].
    pub target_voters: Option<usize>,
    /// How long a voter must be silent before another replaces it automatically.
    pub replace_voter_after: Duration,
}

/// Why a control instance couldn't start.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The data folder can't be used.
    #[snafu(display("data folder {}: {source}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The reason.
        source: FolderError,
    },
    /// The worker's thread couldn't be started.
    #[snafu(display("can't start the thread of the replicated log: {source}"))]
    Thread {
        /// The system's error.
        source: std::io::Error,
    },
}

/// A running control instance.
#[derive(Clone, Debug)]
pub struct ControlNode {
    inputs: SyncSender<WorkerInput>,
    worker: Arc<Mutex<Option<JoinHandle<()>>>>,
    shared: WorkerShared,
    id: NodeId,
}

impl ControlNode {
    /// Opens the data folder and starts to participate in the group. Committed manifests go to
    /// `manifest`, configuration documents to `documents`.
    ///
    /// # Errors
    /// [`ControlError`] if the folder can't be used or the thread can't be started.
    pub fn spawn(
        settings: ControlSettings,
        hub: PeerHub,
        resolver: Arc<dyn AddressResolver>,
        manifest: Arc<ManifestState>,
        documents: Arc<DocumentState>,
    ) -> Result<Self, ControlError> {
        let path = settings.folder;
        let founds = settings.is_first_folder && settings.voters.contains(&settings.instance);
        let first = founds.then(|| FolderIdentity::of_founder(&settings.instance));
        let opened = ControlFolder::open(&path, first).context(FolderSnafu { path: &path })?;
        let OpenedFolder { folder, identity, restored, repaired } = opened;
        if let Some(cut) = repaired {
            warn!("log_tail_cut", kv: { folder:? = path.display().to_string(), cut:? = cut });
        }
        let id = NodeId { instance: settings.instance, identity: FolderIdentity(identity) };
        info!("control_started", kv: {
            identity = id.identity.to_string(),
            is_first_folder = id.is_founder(),
            term = restored.hard_state.term,
            snapshot = restored.snapshot.index,
            entries = restored.entries.len()
        });
        let now = MonotonicTime::between(settings.start, Instant::now());
        let mut raft = RaftSettings::new(id.clone(), settings.voters);
        raft.may_bootstrap = settings.may_bootstrap;
        raft.target_voters = settings.target_voters;
        if settings.target_voters.is_some() {
            raft.replace_voter_after = settings.replace_voter_after;
            raft.replace_folder_after = REPLACE_FOLDER_AFTER;
        }
        let node = RaftNode::open(raft, restored, now, settings.seed);
        let (inputs, receiver) = sync_channel(MAX_INPUTS);
        let sender = PeerSender::new(hub, resolver, Handle::current());
        let limits = GroupLimits::default();
        let states = (manifest, documents);
        let shared = WorkerShared::default();
        let worker = ControlWorker::new(
            settings.start,
            node,
            folder,
            sender,
            states,
            limits,
            shared.clone(),
        );
        let thread = std::thread::Builder::new()
            .name("wheel-control".to_owned())
            .spawn(move || worker.run(&receiver))
            .context(ThreadSnafu)?;
        Ok(Self { inputs, worker: Arc::new(Mutex::new(Some(thread))), shared, id })
    }

    /// This participant's id.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// What this participant waits for to take part in a group; `None` once it does.
    pub fn start_wait(&self) -> Option<String> {
        self.shared.start_wait.lock().clone()
    }

    /// Sets the instances that are asked for the leader, in addition to the members and the
    /// configured voters, while this participant hears none.
    pub fn set_contacts(&self, contacts: Vec<InstanceName>) {
        *self.shared.contacts.lock() = Some(contacts);
    }

    /// Queues a message of the replicated log; it is dropped if the queue is full.
    pub fn receive_message(&self, from: NodeId, to: &NodeId, message: RaftMessage) {
        let is_for_this_node =
            to.identity == FolderIdentity::ANY || to.identity == self.id.identity;
        if is_for_this_node {
            let _ = self.inputs.try_send(WorkerInput::Message { from, message });
        }
    }

    /// Answers a call from any instance.
    pub async fn answer(&self, call: GroupCall) -> GroupReply {
        match call {
            GroupCall::Submit(action) => GroupReply::Submitted(self.submit(action).await),
            GroupCall::ChangeVoter(change) => {
                GroupReply::Submitted(self.change_voter(change).await)
            }
            GroupCall::Read => GroupReply::Read(self.read().await),
            GroupCall::Status => match self.status().await {
                Some(status) => GroupReply::Status(Box::new(status)),
                None => GroupReply::Submitted(stopped_answer()),
            },
        }
    }

    /// Commits an action, if this instance leads.
    pub async fn submit(&self, action: GroupAction) -> SubmitAnswer {
        let (reply, answer) = oneshot::channel();
        self.request(WorkerInput::Submit { action, reply }, answer).await
    }

    /// The state of the group as this instance sees it; `None` once it has stopped. Takes as long
    /// as the worker waits for its disk.
    pub async fn status(&self) -> Option<RaftStatus> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(WorkerInput::Status { reply }).await?;
        answer.await.ok()
    }

    /// Makes a linearizable read; `None` if this instance doesn't lead, or has stopped.
    pub async fn read(&self) -> Option<ReadAnswer> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(WorkerInput::Read { reply }).await?;
        answer.await.ok().flatten()
    }

    /// Stops participating and waits for the worker to end.
    pub fn stop(&self) {
        let Some(worker) = self.worker.lock().take() else { return };
        self.shared.is_stopping.store(true, Ordering::Release);
        let _ = self.inputs.send(WorkerInput::Stop);
        // A panic of the worker has been reported by the runtime already.
        let _ = worker.join();
    }

    async fn change_voter(&self, change: VoterChange) -> SubmitAnswer {
        let (reply, answer) = oneshot::channel();
        self.request(WorkerInput::ChangeVoter { change, reply }, answer).await
    }

    /// Queues a question as soon as there is room; `None` if the worker has stopped.
    async fn enqueue(&self, mut question: WorkerInput) -> Option<()> {
        loop {
            match self.inputs.try_send(question) {
                Ok(()) => return Some(()),
                Err(TrySendError::Full(returned)) => question = returned,
                Err(TrySendError::Disconnected(_)) => return None,
            }
            tokio::time::sleep(QUEUE_PAUSE).await;
        }
    }

    async fn request(
        &self,
        input: WorkerInput,
        answer: oneshot::Receiver<SubmitAnswer>,
    ) -> SubmitAnswer {
        match self.inputs.try_send(input) {
            Ok(()) => answer.await.unwrap_or(SubmitAnswer::Unresolved),
            Err(_) => SubmitAnswer::Refused { reason: "too many calls wait".to_owned() },
        }
    }
}

fn stopped_answer() -> SubmitAnswer {
    SubmitAnswer::Refused { reason: "the control instance has stopped".to_owned() }
}
