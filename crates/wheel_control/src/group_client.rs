//! Client of the group, for any instance.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use snafu::Snafu;
use tokio::time::Instant;
use wheel_agreement::{GroupAction, GroupAnswer, RaftStatus, VoterChange, decode, encode};
use wheel_peer::{PeerChannel, PeerHub};
use wheel_types::InstanceName;

use crate::transfer_time::transfer_time;
use crate::{AddressResolver, ControlNode, GroupCall, GroupReply, ReadAnswer, SubmitAnswer};

/// Time that one control instance gets to answer, beside that for the transfer of a large call: a
/// slow disk's sync and a round trip. Operators wait for a second, and a frozen leader must not use
/// up all of it.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time that the own control instance gets to return its leader; it may be waiting for its disk.
const STATUS_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause after no control instance gave an answer.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Why an action has no answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum GroupError {
    /// Nothing was appended anywhere.
    #[snafu(display("no leader of the group could be reached"))]
    Unavailable,
    /// The action may be committed.
    #[snafu(display("no answer from the group in time"))]
    Unresolved,
    /// The group refused it for good.
    #[snafu(display("the group refused: {reason}"))]
    Refused {
        /// The reason.
        reason: String,
    },
}

/// Finds the leader and submits actions to it. Actions are idempotent by their keys, so that one
/// whose answer was lost is submitted again.
#[derive(Clone)]
pub struct GroupClient {
    hub: PeerHub,
    resolver: Arc<dyn AddressResolver>,
    own: Option<ControlNode>,
    control_instances: Arc<Mutex<Vec<InstanceName>>>,
    leader: Arc<Mutex<Option<InstanceName>>>,
}

impl GroupClient {
    /// Creates a client of `control_instances`, of which `own` may be one.
    pub fn new(
        hub: PeerHub,
        resolver: Arc<dyn AddressResolver>,
        own: Option<ControlNode>,
        control_instances: &[InstanceName],
    ) -> Self {
        Self {
            hub,
            resolver,
            own,
            control_instances: Arc::new(Mutex::new(control_instances.to_vec())),
            leader: Arc::default(),
        }
    }

    /// Commits `action` by the deadline.
    ///
    /// # Errors
    /// [`GroupError`] if there is no answer; it tells whether the action may be committed.
    pub async fn submit(
        &self,
        action: GroupAction,
        deadline: Instant,
    ) -> Result<GroupAnswer, GroupError> {
        match self.commit(GroupCall::Submit(action), deadline).await? {
            SubmitAnswer::Answer(answer) => Ok(answer),
            _ => Err(GroupError::Unresolved),
        }
    }

    /// Commits a change of the voters by the deadline.
    ///
    /// # Errors
    /// [`GroupError`] if there is no answer.
    pub async fn change_voter(
        &self,
        change: VoterChange,
        deadline: Instant,
    ) -> Result<(), GroupError> {
        self.commit(GroupCall::ChangeVoter(change), deadline).await.map(drop)
    }

    /// The state of the group as the first control instance that answers sees it, the leader
    /// first.
    pub async fn status(&self) -> Option<RaftStatus> {
        for instance in self.candidates() {
            if let Ok(GroupReply::Status(status)) =
                self.request(&instance, &GroupCall::Status).await
            {
                return Some(*status);
            }
        }
        None
    }

    /// Makes a linearizable read at the leader; `None` if no leader confirms it by `deadline`.
    pub async fn read(&self, deadline: Instant) -> Option<ReadAnswer> {
        while Instant::now() < deadline {
            self.refresh_leader().await;
            for instance in self.candidates() {
                let pending = self.request(&instance, &GroupCall::Read);
                match tokio::time::timeout_at(deadline, pending).await {
                    Ok(Ok(GroupReply::Read(Some(answer)))) => {
                        *self.leader.lock() = Some(instance);
                        return Some(answer);
                    }
                    Ok(_) => self.update_leader(&instance, None),
                    Err(_) => return None,
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        None
    }

    /// What the own control instance waits for to take part in the group, if it doesn't yet.
    pub fn start_wait(&self) -> Option<String> {
        self.own.as_ref()?.start_wait()
    }

    /// Replaces the list of control instances.
    pub fn set_control_instances(&self, control_instances: &[InstanceName]) {
        *self.control_instances.lock() = control_instances.into();
    }

    /// Sends the call to one instance after another until one answers for the group, or the time is
    /// over.
    async fn commit(&self, call: GroupCall, deadline: Instant) -> Result<SubmitAnswer, GroupError> {
        let mut may_be_committed = false;
        loop {
            self.refresh_leader().await;
            for instance in self.candidates() {
                match self.attempt(&instance, &call, deadline).await {
                    Attempt::Answered(answer) => return Ok(answer),
                    Attempt::NotAppended => {}
                    Attempt::Unresolved => may_be_committed = true,
                    // A refusal says nothing about an earlier attempt.
                    Attempt::Refused(_) if may_be_committed => return Err(GroupError::Unresolved),
                    Attempt::Refused(reason) => return Err(GroupError::Refused { reason }),
                }
            }
            if Instant::now() + ROUND_PAUSE >= deadline {
                return Err(match may_be_committed {
                    true => GroupError::Unresolved,
                    false => GroupError::Unavailable,
                });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn attempt(
        &self,
        instance: &InstanceName,
        call: &GroupCall,
        deadline: Instant,
    ) -> Attempt {
        let reply = tokio::time::timeout_at(deadline, self.request(instance, call)).await;
        let answer = match reply {
            Ok(Ok(GroupReply::Submitted(answer))) => answer,
            Ok(Err(RequestError { may_have_run: false })) => return Attempt::NotAppended,
            // A reply to another kind of call says nothing of this one.
            Ok(Ok(_) | Err(_)) | Err(_) => return Attempt::Unresolved,
        };
        match answer {
            SubmitAnswer::NotLeader { leader } => {
                self.update_leader(instance, leader);
                Attempt::NotAppended
            }
            SubmitAnswer::Unresolved => Attempt::Unresolved,
            SubmitAnswer::Refused { reason } => Attempt::Refused(reason),
            answer if answer.is_end_of(call) => {
                *self.leader.lock() = Some(instance.clone());
                Attempt::Answered(answer)
            }
            SubmitAnswer::Answer(_) | SubmitAnswer::VoterChanged => Attempt::Unresolved,
        }
    }

    /// Uses the leader that the own control instance follows: that instance notices a new leader
    /// first.
    async fn refresh_leader(&self) {
        let Some(own) = &self.own else { return };
        let status = tokio::time::timeout(STATUS_TIMEOUT, own.status()).await;
        if let Some(leader) = status.ok().flatten().and_then(|status| status.leader) {
            *self.leader.lock() = Some(leader.instance);
        }
    }

    /// The instances to try, the likely leader first.
    fn candidates(&self) -> Vec<InstanceName> {
        let leader = self.leader.lock().clone();
        let control_instances = self.control_instances.lock().clone();
        let others = control_instances.into_iter().filter(|name| Some(name) != leader.as_ref());
        leader.iter().cloned().chain(others).collect()
    }

    /// Stores the leader named in a refusal, or clears it if `instance` was taken for the leader.
    fn update_leader(&self, instance: &InstanceName, leader: Option<InstanceName>) {
        let mut held = self.leader.lock();
        match leader {
            Some(leader) => *held = Some(leader),
            None if held.as_ref() == Some(instance) => *held = None,
            None => {}
        }
    }

    async fn request(
        &self,
        instance: &InstanceName,
        call: &GroupCall,
    ) -> Result<GroupReply, RequestError> {
        // The leader sends the call's body on before it answers.
        let limit = ATTEMPT_TIMEOUT + transfer_time(call.size_bytes());
        if let Some(own) = self.own.as_ref().filter(|own| &own.id().instance == instance) {
            let answer = tokio::time::timeout(limit, own.answer(call.clone())).await;
            return answer.map_err(|_| RequestError { may_have_run: true });
        }
        let unsent = RequestError { may_have_run: false };
        let address = self.resolver.peer_address(instance).ok_or(unsent)?;
        let body = encode(call).map_err(|_| unsent)?;
        let answer = self.hub.call(&address, PeerChannel::Claim, body, limit).await;
        let answer = answer.map_err(|error| RequestError { may_have_run: error.may_have_run() })?;
        decode(&answer).map_err(|_| RequestError { may_have_run: true })
    }
}

/// The outcome of one attempt to commit a call.
enum Attempt {
    Answered(SubmitAnswer),
    /// Nothing was appended by this attempt, and nothing will be.
    NotAppended,
    /// It may have been appended.
    Unresolved,
    Refused(String),
}

/// An instance gave no answer.
#[derive(Clone, Copy, Debug)]
struct RequestError {
    may_have_run: bool,
}
