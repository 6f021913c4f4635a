//! Settings of a participant.

use std::time::Duration;

use wheel_types::InstanceName;

use crate::NodeId;

/// Identity of a participant, its initial group, and its timings and limits.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RaftSettings {
    /// This participant.
    pub id: NodeId,
    /// The instances that form a new group; the same list at each of them.
    pub voters: Vec<InstanceName>,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest time without a message from a leader before an election.
    pub election_timeout_min: Duration,
    /// The longest such time; also how long a leader continues without messages from a quorum.
    pub election_timeout_max: Duration,
    /// Whether this participant may form a new group with all of the voters. A participant of an
    /// existing group must not: with an empty folder it waits until it may join. The first folder
    /// of a voter forms one with a majority regardless, see [`NodeId::is_founder`].
    pub may_bootstrap: bool,
    /// How many voters the group maintains automatically. Any other participant that asks becomes a
    /// learner, and a learner replaces a voter that has gone silent. `None` leaves this to
    /// operators.
    pub target_voters: Option<usize>,
    /// How long a voter must be silent before a learner of another instance replaces it.
    pub replace_voter_after: Duration,
    /// How long a voter must be silent before an empty folder of the same instance replaces it.
    pub replace_folder_after: Duration,
    /// The most bytes of entries in a message, unless one entry is larger.
    pub max_append_bytes: usize,
    /// The most bytes of a snapshot in a message.
    pub max_chunk_bytes: usize,
    /// The most entries sent to a participant before it confirms any.
    pub max_inflight_entries: u64,
    /// The most proposals, and the most reads, that wait at the leader; more are refused.
    pub max_pending: usize,
    /// Total size of waiting proposals, in bytes, from which further ones are refused.
    pub max_pending_bytes: usize,
    /// The largest command, in bytes; larger ones are refused.
    pub max_command_bytes: usize,
    /// Entries kept in memory before the snapshot, for participants that are a little behind.
    pub trailing_entries: u64,
    /// The most bytes of such entries.
    pub trailing_bytes: usize,
}

impl RaftSettings {
    /// Settings of `id`, which forms a group with `voters`.
    pub fn new(id: NodeId, voters: impl IntoIterator<Item = InstanceName>) -> Self {
        let mut voters: Vec<InstanceName> = voters.into_iter().collect();
        voters.sort();
        voters.dedup();
        Self {
            id,
            voters,
            heartbeat_interval: Duration::from_millis(250),
            election_timeout_min: Duration::from_millis(750),
            election_timeout_max: Duration::from_millis(1_400),
            may_bootstrap: true,
            target_voters: None,
            replace_voter_after: Duration::from_secs(10),
            replace_folder_after: Duration::from_secs(10),
            max_append_bytes: 256 << 10,
            max_chunk_bytes: 1 << 20,
            max_inflight_entries: 1_024,
            max_pending: 4_096,
            max_pending_bytes: 8 << 20,
            max_command_bytes: 5 << 20,
            trailing_entries: 256,
            trailing_bytes: 4 << 20,
        }
    }

    /// Sets the heartbeat interval and the range of election timeouts.
    pub fn with_times(mut self, heartbeat: Duration, election: [Duration; 2]) -> Self {
        self.heartbeat_interval = heartbeat;
        [self.election_timeout_min, self.election_timeout_max] = election;
        self
    }
}
