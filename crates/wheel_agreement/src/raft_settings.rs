//! Settings of a participant.

use std::time::Duration;

use wheel_types::InstanceName;

use crate::NodeId;

/// Who a participant is, whom it forms a group with, and its times and bounds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RaftSettings {
    /// This participant.
    pub id: NodeId,
    /// The instances that form a new group; the same list at each of them.
    pub voters: Vec<InstanceName>,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest time without a leader's word before an election.
    pub election_timeout_min: Duration,
    /// The longest such time; also how long a leader goes on without a quorum's word.
    pub election_timeout_max: Duration,
    /// Whether this participant may form a group. One that belongs to a group which exists must not:
    /// an empty folder of it waits to be taken in.
    pub may_bootstrap: bool,
    /// How many voters the group keeps by itself. Any other participant that asks becomes a learner,
    /// and a learner takes the place of a voter that has gone silent. `None` leaves this to operators.
    pub target_voters: Option<usize>,
    /// How long a voter must be silent before a learner of another instance takes its place.
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
    /// Bytes of waiting proposals from which on further ones are refused.
    pub max_pending_bytes: usize,
    /// The largest command, in bytes; larger ones are refused.
    pub max_command_bytes: usize,
    /// Entries kept in memory before the snapshot, for participants that are a little behind.
    pub trailing_entries: u64,
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
        }
    }

    /// Sets the heartbeat interval and the range of election timeouts.
    pub fn with_times(mut self, heartbeat: Duration, election: [Duration; 2]) -> Self {
        self.heartbeat_interval = heartbeat;
        [self.election_timeout_min, self.election_timeout_max] = election;
        self
    }
}
