//! Participants that aren't members: how they form a group or join one.

use std::collections::BTreeSet;
use std::sync::Arc;

use wheel_types::InstanceName;

use crate::raft_role::{LeaderState, RaftRole};
use crate::{
    EntryPayload, FolderIdentity, GroupId, GroupMembers, NodeId, RaftBody, RaftNode, RaftSettings,
    RaftSnapshot, StartWait, VoterChange,
};

impl RaftNode {
    /// Reports to the configured voters that this folder is empty.
    pub(super) fn send_hello(&mut self) {
        self.timers.set_countdown(self.settings.heartbeat_interval);
        let configured = self.settings.voters.clone();
        let mut targets = self.search.take_targets();
        targets.extend(configured.iter().cloned());
        self.send_to_instances(targets, &RaftBody::Hello { configured });
        self.form_group();
    }

    /// Asks whoever may know the leader to be a member again. Instances are asked whatever their
    /// folders, since those may have been lost meanwhile.
    pub(super) fn send_join_requests(&mut self) {
        let mut targets = self.search.take_targets();
        targets.extend(self.settings.voters.iter().cloned());
        targets.extend(self.log.members().nodes().map(|node| node.instance.clone()));
        self.send_to_instances(targets, &RaftBody::JoinRequest);
    }

    fn send_to_instances(&mut self, mut targets: BTreeSet<InstanceName>, body: &RaftBody) {
        targets.remove(&self.settings.id.instance);
        for instance in targets {
            self.send(&NodeId::any(instance), body.clone());
        }
    }

    /// Takes back a participant that isn't a member any more, or tells it who leads. Its term says
    /// nothing, since nobody has replicated to it.
    pub(super) fn handle_join_request(&mut self, from: NodeId) {
        match &self.role {
            _ if self.members().contains(&from) => {}
            RaftRole::Leader(_) => self.add_waiting(from),
            _ if self.has_recent_leader() => self.send_leader(&from),
            _ => {}
        }
    }

    pub(super) fn handle_hello(&mut self, from: NodeId, configured: &[InstanceName]) {
        match &self.role {
            RaftRole::Joining(_) if configured == self.settings.voters => {
                self.send(&from, RaftBody::Empty { configured: configured.to_vec() });
            }
            RaftRole::Joining(_) => {}
            _ if self.is_committed_member(&from) => self.send_welcome(&from),
            RaftRole::Leader(_) => self.add_waiting(from),
            _ => self.send_leader(&from),
        }
    }

    /// Records who leads the group, to ask it soon.
    pub(super) fn handle_leader(&mut self, group: GroupId, instance: InstanceName) {
        match self.is_joining() {
            true => self.search.record_leader(instance),
            false if group == self.group() && self.leader.is_none() => {
                self.search.record_leader(instance);
                self.timers.limit_countdown(self.settings.heartbeat_interval);
            }
            false => {}
        }
    }

    /// Records that a configured voter's folder is empty.
    pub(super) fn handle_empty(&mut self, from: NodeId, configured: &[InstanceName]) {
        let voters = &self.settings.voters;
        let RaftRole::Joining(state) = &mut self.role else {
            return;
        };
        if configured == voters && voters.contains(&from.instance) {
            state.empty.insert(from.instance, from.identity);
            self.form_group();
        }
    }

    /// Starts in the group that this folder joins. The sender guarantees that this folder is one of
    /// the `members`, and that they are committed; the log or a snapshot follows.
    pub(super) fn handle_welcome(&mut self, group: GroupId, members: Arc<GroupMembers>) {
        if self.is_joining() && group != GroupId::NONE {
            self.start_in_group(group, members);
        }
    }

    /// What this participant waits for, as long as its folder is empty.
    pub fn start_wait(&self) -> Option<StartWait> {
        let RaftRole::Joining(state) = &self.role else {
            return None;
        };
        let RaftSettings { id, voters, may_bootstrap, .. } = &*self.settings;
        let founds = id.is_founder();
        let has_answered = |voter: &InstanceName| match state.empty.get(voter) {
            _ if *voter == id.instance => true,
            Some(identity) => !founds || *identity == FolderIdentity::of_founder(voter),
            None => false,
        };
        let silent: Vec<InstanceName> =
            voters.iter().filter(|voter| !has_answered(voter)).cloned().collect();
        let answered = voters.len() - silent.len();
        Some(match founds {
            true => StartWait::Voters { more: (voters.len() / 2 + 1) - answered, of: silent },
            false if *may_bootstrap => StartWait::Voters { more: silent.len(), of: silent },
            false => StartWait::Group { leader: self.search.named_leader().cloned() },
        })
    }

    fn form_group(&mut self) {
        match self.settings.id.is_founder() {
            true => self.form_with_majority(),
            false => self.form_with_all(),
        }
    }

    /// Forms the group of the voters' first folders once a majority of these is empty.
    ///
    /// Its id and its members follow from the settings, so that whoever forms it forms the same
    /// one, and a voter that is away is a member already. A first folder that never started has
    /// voted for nobody and confirmed nothing: it counts as a voter that hasn't been heard yet.
    fn form_with_majority(&mut self) {
        let id = self.settings.id.clone();
        let RaftRole::Joining(state) = &self.role else {
            return;
        };
        let founders = self.settings.voters.iter().cloned().map(NodeId::founder);
        let members = GroupMembers::of_voters(founders);
        let is_empty = |voter: &NodeId| {
            *voter == id || state.empty.get(&voter.instance) == Some(&voter.identity)
        };
        let empty: Vec<NodeId> =
            members.voters.iter().filter(|voter| is_empty(voter)).cloned().collect();
        if !members.voters.contains(&id) || empty.len() < members.quorum() {
            return;
        }
        // If all stood for election at once, they would split the votes.
        let is_first = empty.first() == Some(&id);
        self.start_new_group(members);
        if is_first {
            self.start_pre_vote();
        }
    }

    /// Forms a new group once every configured voter has reported that its folder is empty. Only
    /// the first of them does so, and it records the group before it sends anything: a crash leaves
    /// either no group or this one.
    fn form_with_all(&mut self) {
        let id = self.settings.id.clone();
        let RaftRole::Joining(state) = &self.role else {
            return;
        };
        let identity_of = |instance: &InstanceName| match state.empty.get(instance) {
            _ if *instance == id.instance => Some(id.identity),
            identity => identity.copied(),
        };
        let voter_of = |instance: &InstanceName| {
            let identity: FolderIdentity = identity_of(instance)?;
            Some(NodeId { instance: instance.clone(), identity })
        };
        let is_first =
            self.settings.may_bootstrap && self.settings.voters.first() == Some(&id.instance);
        let voters: Option<Vec<NodeId>> = self.settings.voters.iter().map(voter_of).collect();
        // First folders may have formed their group since they reported.
        let has_founder = |voters: &Vec<NodeId>| voters.iter().any(NodeId::is_founder);
        let Some(voters) = voters.filter(|voters| is_first && !has_founder(voters)) else {
            return;
        };
        self.start_new_group(GroupMembers::of_voters(voters));
        self.start_pre_vote();
    }

    /// Starts in the new group of `members` and tells them to start as well.
    fn start_new_group(&mut self, members: GroupMembers) {
        let id = self.settings.id.clone();
        let members = Arc::new(members);
        let group = GroupId::of_voters(members.voters.iter());
        self.start_in_group(group, Arc::clone(&members));
        for voter in members.voters.iter().filter(|voter| **voter != id) {
            self.send_welcome(voter);
        }
    }

    fn start_in_group(&mut self, group: GroupId, members: Arc<GroupMembers>) {
        let index = RaftSnapshot::FIRST_INDEX;
        let snapshot = RaftSnapshot { group, index, members, ..Default::default() };
        self.role = RaftRole::Follower;
        self.timers.randomize_countdown(&self.settings);
        self.replace_state(snapshot);
    }

    /// Whether a committed entry makes `node` a member. If an uncommitted entry counted and was
    /// lost again, the node would belong to a group that doesn't know it.
    fn is_committed_member(&self, node: &NodeId) -> bool {
        let is_committed = self.log.members_index() <= self.commit;
        self.log.snapshot().members.contains(node)
            || is_committed && self.log.members().contains(node)
    }

    /// Tells a member whose folder is empty to start. A follower leaves that to its leader, which
    /// may know newer members.
    fn send_welcome(&mut self, member: &NodeId) {
        let knows_leader = self.leader.as_ref().is_some_and(|leader| *leader != self.settings.id);
        if knows_leader {
            return self.send_leader(member);
        }
        let is_committed = self.log.members_index() <= self.commit;
        let members = match is_committed {
            true => self.members(),
            false => Arc::clone(&self.log.snapshot().members),
        };
        self.send(member, RaftBody::Welcome { members });
    }

    /// Tells members that have confirmed nothing yet to start, without waiting for their next hello.
    pub(super) fn welcome_new_members(&mut self) {
        let RaftRole::Leader(state) = &self.role else {
            return;
        };
        let is_new =
            |node: &NodeId| state.progress.get(node).is_some_and(|progress| progress.matched == 0);
        let new: Vec<NodeId> =
            self.log.members().nodes().filter(|node| is_new(node)).cloned().collect();
        new.iter().for_each(|node| self.send_welcome(node));
    }

    fn send_leader(&mut self, to: &NodeId) {
        if let Some(leader) = self.leader.clone() {
            self.send(to, RaftBody::Leader { instance: leader.instance });
        }
    }

    /// Lists a participant that isn't a member. It replaces a voter of the same instance
    /// automatically once that one has been silent long enough; otherwise an operator decides,
    /// unless the group maintains its voters automatically.
    pub(super) fn add_waiting(&mut self, from: NodeId) {
        let members = self.members();
        let RaftRole::Leader(state) = &mut self.role else {
            return;
        };
        state.waiting.retain(|node| node.instance != from.instance);
        if state.waiting.len() < LeaderState::MAX_WAITING {
            state.waiting.insert(from.clone());
        }
        let replace_folder_after = self.settings.replace_folder_after;
        let is_lost = members.previous_voter(&from).is_some_and(|previous| {
            state
                .progress
                .get(previous)
                .is_some_and(|progress| progress.silence >= replace_folder_after)
        });
        let has_previous = members.previous_voter(&from).is_some();
        let change = match () {
            () if is_lost => VoterChange::AddVoter(from),
            () if self.settings.target_voters.is_some() && !has_previous => {
                VoterChange::AddLearner(from)
            }
            () => return,
        };
        if self.may_change_members() {
            let next = members.with_change(&change);
            next.into_iter().for_each(|next| self.append_entry(EntryPayload::Members(next.into())));
        }
    }
}
