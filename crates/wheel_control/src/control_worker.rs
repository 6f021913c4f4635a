//! The thread that carries out the outputs of the replicated log.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use spdlog::{critical, info, warn};
use tokio::sync::oneshot;
use wheel_agreement::{
    DocumentAnswer, EntryPayload, GroupAction, GroupAnswer, GroupClock, GroupCommand, GroupLimits,
    GroupState, LogEntry, NodeId, PersistRecord, ProposalId, ProposalRefusal, RaftBody, RaftInput,
    RaftMessage, RaftNode, RaftOutput, RaftStatus, ReadId, RoleName, VoterChange, decode, encode,
};
use wheel_seams::is_planted;
use wheel_types::MonotonicTime;

use crate::control_folder::ControlFolder;
use crate::group_monitor::GroupMonitor;
use crate::peer_sender::PeerSender;
use crate::worker_shared::WorkerShared;
use crate::{DocumentState, ManifestState, ReadAnswer, SubmitAnswer};

/// Inputs handled with one sync.
const MAX_BATCH: usize = 512;
/// Bytes of manifests that a restart may have to rebuild from the log: replaying a change rebuilds
/// the whole manifest.
const MAX_REPLAY_BYTES: u64 = 512 << 20;
/// Applied entries after which a snapshot is taken, at the least and at the most.
const MIN_SNAPSHOT_ENTRIES: u64 = 128;
const MAX_SNAPSHOT_ENTRIES: u64 = 4_096;
/// Bytes of applied entries after which a snapshot is taken, as they are kept in memory and on disk
/// until then; more if the state itself is large.
const SNAPSHOT_BYTES: usize = 8 << 20;
/// Maximum time for handing over leadership before the worker stops.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two attempts to write to a full disk.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two log lines about what an empty folder waits for.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Inputs of the worker.
pub(crate) enum WorkerInput {
    Message { from: NodeId, message: RaftMessage },
    Submit { action: GroupAction, reply: oneshot::Sender<SubmitAnswer> },
    ChangeVoter { change: VoterChange, reply: oneshot::Sender<SubmitAnswer> },
    Read { reply: oneshot::Sender<Option<ReadAnswer>> },
    Status { reply: oneshot::Sender<RaftStatus> },
    Stop,
}

/// Owns the log, its folder and the state machine.
pub(crate) struct ControlWorker {
    start: Instant,
    node: RaftNode,
    folder: ControlFolder,
    sender: PeerSender,
    manifest: Arc<ManifestState>,
    documents: Arc<DocumentState>,
    limits: GroupLimits,
    state: GroupState,
    clock: GroupClock,
    role: RoleName,
    next_proposal: u64,
    /// Who waits for a proposal's outcome: several, if the same document is submitted again.
    pending_proposals: HashMap<ProposalId, Vec<oneshot::Sender<SubmitAnswer>>>,
    /// Versions of the documents among the proposals.
    pending_documents: HashMap<u64, ProposalId>,
    pending_reads: HashMap<ReadId, oneshot::Sender<Option<ReadAnswer>>>,
    /// The proposal whose entry is applied next.
    accepted: Option<(ProposalId, u64)>,
    snapshot_index: u64,
    /// Bytes of the entries applied since the snapshot.
    applied_bytes: usize,
    shared: WorkerShared,
    wait_logged: Option<Instant>,
    monitor: GroupMonitor,
    /// Whether it was stopped before its last records could be written; it carries out no further
    /// outputs then.
    is_aborted: bool,
}

impl ControlWorker {
    pub(crate) fn new(
        start: Instant,
        node: RaftNode,
        folder: ControlFolder,
        sender: PeerSender,
        (manifest, documents): (Arc<ManifestState>, Arc<DocumentState>),
        limits: GroupLimits,
        shared: WorkerShared,
    ) -> Self {
        Self {
            start,
            role: RoleName::Joining,
            node,
            folder,
            sender,
            manifest,
            documents,
            state: GroupState::open(limits.clone()),
            limits,
            clock: GroupClock::open(0, MonotonicTime::default()),
            next_proposal: 0,
            pending_proposals: HashMap::new(),
            pending_documents: HashMap::new(),
            pending_reads: HashMap::new(),
            accepted: None,
            snapshot_index: 0,
            applied_bytes: 0,
            shared,
            wait_logged: None,
            monitor: GroupMonitor::default(),
            is_aborted: false,
        }
    }

    /// Runs until it is told to stop.
    pub(crate) fn run(mut self, inputs: &Receiver<WorkerInput>) {
        let mut stop_at = None;
        loop {
            let leads = self.node.role() == RoleName::Leader;
            if stop_at.is_some_and(|stop_at| !leads || Instant::now() >= stop_at) {
                return;
            }
            let wait = self.node.next_tick().since(self.now());
            let batch = match inputs.recv_timeout(wait) {
                Ok(first) => take_batch(first, inputs),
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut steps = Vec::with_capacity(batch.len() + 2);
            let contacts = self.shared.contacts.lock().take();
            steps.extend(contacts.map(|contacts| RaftInput::SetContacts { contacts }));
            for input in batch {
                match input {
                    WorkerInput::Stop => {
                        steps.push(RaftInput::Resign);
                        stop_at.get_or_insert_with(|| Instant::now() + RESIGN_TIMEOUT);
                    }
                    WorkerInput::Status { reply } => drop(reply.send(self.node.status())),
                    input => steps.extend(self.convert_input(input)),
                }
            }
            let now = self.now();
            if self.node.next_tick() <= now {
                steps.push(RaftInput::Tick);
            }
            let outputs = self.node.step_batch(now, steps);
            self.carry_out(outputs);
            if self.is_aborted {
                return;
            }
            self.update_role();
            self.update_start_wait();
            self.monitor.observe(Instant::now(), &self.node);
            self.compact_if_due();
        }
    }

    fn convert_input(&mut self, input: WorkerInput) -> Option<RaftInput> {
        match input {
            WorkerInput::Message { message, .. }
                if message.body == RaftBody::JoinRequest && is_planted("join_request_dropped") =>
            {
                None
            }
            WorkerInput::Message { from, message } => Some(RaftInput::Message { from, message }),
            // The group's time is known only after the role change has been handled: a command
            // stamped before that could age every claim.
            WorkerInput::Submit { reply, .. } if self.role != RoleName::Leader => {
                let _ = reply.send(SubmitAnswer::not_leader(self.node.status().leader));
                None
            }
            WorkerInput::Submit {
                action: GroupAction::AdoptDocument { version, bytes },
                reply,
            } => self.submit_document(version, bytes, reply),
            WorkerInput::Submit { action, reply } => {
                self.submit(action, reply).map(|(_, input)| input)
            }
            WorkerInput::ChangeVoter { change, reply } => {
                Some(RaftInput::ChangeVoter { proposal: self.register_reply(reply), change })
            }
            WorkerInput::Read { reply } => {
                self.next_proposal += 1;
                let read = ReadId(self.next_proposal);
                self.pending_reads.insert(read, reply);
                Some(RaftInput::Read { read })
            }
            WorkerInput::Status { .. } | WorkerInput::Stop => None,
        }
    }

    /// Proposes a document, unless one as new is committed or the same version is proposed already:
    /// operators send a change again whose answer takes long, and each copy would delay it further.
    fn submit_document(
        &mut self,
        version: u64,
        bytes: Arc<[u8]>,
        reply: oneshot::Sender<SubmitAnswer>,
    ) -> Option<RaftInput> {
        let held = self.state.document().map_or(0, |held| held.version);
        if held >= version {
            let kept = GroupAnswer::Document(DocumentAnswer::Kept { version: held });
            let _ = reply.send(SubmitAnswer::Answer(kept));
            return None;
        }
        let pending = self.pending_documents.get(&version);
        match pending.and_then(|proposal| self.pending_proposals.get_mut(proposal)) {
            Some(replies) => {
                replies.push(reply);
                None
            }
            None => {
                let action = GroupAction::AdoptDocument { version, bytes };
                let (proposal, input) = self.submit(action, reply)?;
                self.pending_documents.insert(version, proposal);
                Some(input)
            }
        }
    }

    fn submit(
        &mut self,
        action: GroupAction,
        reply: oneshot::Sender<SubmitAnswer>,
    ) -> Option<(ProposalId, RaftInput)> {
        let leader_ms = self.clock.leader_ms(self.now());
        let Ok(command) = encode(&GroupCommand { leader_ms, action }) else {
            let reason = "the action has no encoding".to_owned();
            let _ = reply.send(SubmitAnswer::Refused { reason });
            return None;
        };
        let proposal = self.register_reply(reply);
        Some((proposal, RaftInput::Propose { proposal, command }))
    }

    fn register_reply(&mut self, reply: oneshot::Sender<SubmitAnswer>) -> ProposalId {
        self.next_proposal += 1;
        let proposal = ProposalId(self.next_proposal);
        self.pending_proposals.insert(proposal, vec![reply]);
        proposal
    }

    fn carry_out(&mut self, outputs: Vec<RaftOutput>) {
        for output in outputs {
            match output {
                RaftOutput::Persist(records) => {
                    if !self.persist(&records) {
                        // The outputs that follow, messages above all, depend on these records.
                        self.is_aborted = true;
                        return;
                    }
                }
                RaftOutput::Send { to, message } => {
                    self.sender.send(self.node.id(), &to, &message);
                }
                RaftOutput::Restore { index, snapshot } => self.restore(index, &snapshot),
                RaftOutput::Accepted { proposal, index } => {
                    self.accepted = Some((proposal, index));
                }
                RaftOutput::Apply { index, entry } => self.apply(index, &entry),
                RaftOutput::Refused { proposal, leader, reason } => {
                    let answer = match reason {
                        ProposalRefusal::NotLeader => SubmitAnswer::not_leader(leader),
                        reason => SubmitAnswer::Refused { reason: format!("{reason:?}") },
                    };
                    self.reply(proposal, &answer);
                }
                RaftOutput::Unresolved { proposal, .. } => {
                    self.reply(proposal, &SubmitAnswer::Unresolved);
                }
                RaftOutput::ReadReady { read, .. } => {
                    let version = self.state.document().map_or(0, |document| document.version);
                    let answer = ReadAnswer { term: self.node.term(), version };
                    self.answer_read(read, Some(answer));
                }
                RaftOutput::ReadRefused { read, .. } => self.answer_read(read, None),
            }
        }
    }

    /// Writes records, and waits while the disk is full: the others consider this instance dead
    /// meanwhile. False if it is stopped before there is space on the disk.
    fn persist(&mut self, records: &[PersistRecord]) -> bool {
        let is_stopping = Arc::clone(&self.shared.is_stopping);
        let mut full_since = None;
        let persisted = self.folder.persist(records, &mut |error| {
            if full_since.is_none() {
                warn!("data_folder_full", kv: { reason:? = error.to_string() });
            }
            full_since.get_or_insert_with(Instant::now);
            std::thread::sleep(FULL_RETRY_INTERVAL);
            !is_stopping.load(Ordering::Acquire)
        });
        match (persisted, full_since) {
            (Ok(()), None) => true,
            (Ok(()), Some(since)) => {
                let full_ms = since.elapsed().as_millis() as u64;
                info!("data_folder_has_room", kv: { full_ms });
                true
            }
            (Err(error), _) if error.is_full() => false,
            (Err(error), _) => {
                // Without a synced log it could contradict votes and confirmations already sent.
                critical!("data_folder_failed", kv: { reason:? = error.to_string() });
                std::process::exit(1);
            }
        }
    }

    fn restore(&mut self, index: u64, snapshot: &[u8]) {
        let mut state = GroupState::open(self.limits.clone());
        match state.restore(snapshot) {
            Ok(()) => self.state = state,
            Err(error) => {
                critical!("snapshot_unreadable", kv: { index, reason:? = error.to_string() });
                std::process::exit(1);
            }
        }
        self.snapshot_index = index;
        self.applied_bytes = 0;
        self.publish();
    }

    fn apply(&mut self, index: u64, entry: &LogEntry) {
        self.applied_bytes += entry.size_bytes();
        let proposal = self.accepted.take_if(|(_, accepted)| *accepted == index);
        let answer = match &entry.payload {
            EntryPayload::Command(bytes) => Some(self.apply_command(index, bytes)),
            EntryPayload::Members(members) => {
                info!("voters_changed", kv: {
                    voters = members.voters.len(), learners = members.learners.len(), index
                });
                None
            }
            EntryPayload::Noop => None,
        };
        if let Some((proposal, _)) = proposal {
            let answer = answer.map_or(SubmitAnswer::VoterChanged, SubmitAnswer::Answer);
            self.reply(proposal, &answer);
        }
    }

    fn apply_command(&mut self, index: u64, bytes: &[u8]) -> GroupAnswer {
        match decode::<GroupCommand>(bytes) {
            Ok(command) => {
                let answer = self.state.apply(index, &command);
                self.publish();
                answer
            }
            Err(error) => {
                // Skipping it would let the states of the group diverge.
                critical!("command_unreadable", kv: { index, reason:? = error.to_string() });
                std::process::exit(1);
            }
        }
    }

    fn answer_read(&mut self, read: ReadId, answer: Option<ReadAnswer>) {
        if let Some(reply) = self.pending_reads.remove(&read) {
            let _ = reply.send(answer);
        }
    }

    /// Publishes the contents of the state machine to the rest of the instance.
    fn publish(&self) {
        self.manifest.replace(self.state.history());
        if let Some(document) = self.state.document()
            && !is_planted("log_lags")
            && self.documents.adopt(document)
        {
            info!("document_committed", kv: { version = document.version });
        }
    }

    fn reply(&mut self, proposal: ProposalId, answer: &SubmitAnswer) {
        self.pending_documents.retain(|_, pending| *pending != proposal);
        for reply in self.pending_proposals.remove(&proposal).into_iter().flatten() {
            let _ = reply.send(answer.clone());
        }
    }

    /// Starts the group's clock when leadership begins.
    fn update_role(&mut self) {
        let role = self.node.role();
        if role == self.role {
            return;
        }
        if role == RoleName::Leader {
            self.clock = GroupClock::open(self.state.clock_ms(), self.now());
        }
        info!("control_role", kv: { role:? = role, term = self.node.term() });
        self.role = role;
    }

    /// Logs what an empty folder waits for, when that changes and from time to time.
    fn update_start_wait(&mut self) {
        let wait = self.node.start_wait().map(|wait| wait.to_string());
        let is_due = self.wait_logged.is_none_or(|at| at.elapsed() >= WAIT_LOG_INTERVAL);
        let mut held = self.shared.start_wait.lock();
        if *held == wait && (wait.is_none() || !is_due) {
            return;
        }
        if let Some(waits_for) = &wait {
            warn!("start_waits", kv: { waits_for = waits_for.as_str() });
        }
        self.wait_logged = Some(Instant::now());
        *held = wait;
    }

    fn compact_if_due(&mut self) {
        let applied = self.state.applied();
        let document_bytes = self.state.document().map_or(0, |document| document.bytes.len());
        let manifest_bytes = (self.state.manifest().source.len() + document_bytes).max(1) as u64;
        let entries =
            (MAX_REPLAY_BYTES / manifest_bytes).clamp(MIN_SNAPSHOT_ENTRIES, MAX_SNAPSHOT_ENTRIES);
        let has_few_bytes = self.applied_bytes < SNAPSHOT_BYTES.max(2 * manifest_bytes as usize);
        if applied < self.snapshot_index + entries && has_few_bytes {
            return;
        }
        if let Ok(snapshot) = self.state.snapshot() {
            self.snapshot_index = applied;
            self.applied_bytes = 0;
            let input = RaftInput::Compacted { index: applied, snapshot };
            let outputs = self.node.step(self.now(), input);
            self.carry_out(outputs);
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::between(self.start, Instant::now())
    }
}

fn take_batch(first: WorkerInput, inputs: &Receiver<WorkerInput>) -> Vec<WorkerInput> {
    let mut batch = vec![first];
    while let Some(next) = (batch.len() < MAX_BATCH).then(|| inputs.try_recv().ok()).flatten() {
        batch.push(next);
    }
    batch
}
