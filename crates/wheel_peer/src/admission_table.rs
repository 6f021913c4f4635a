//! Admission of the connections that other instances open.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Limits of an [`AdmissionTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Connections that aren't authenticated or haven't been admitted for a call; beyond that, a
    /// new one closes the oldest of them.
    pub max_entering: usize,
    /// Connections that carry the traffic of a quorum.
    pub max_members: usize,
    /// Connections that carry anything else.
    pub max_guests: usize,
    /// Time without a call after which a connection may be closed in favor of another one.
    pub idle_time: Duration,
}

/// Identifies a connection within its table.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

/// What a connection has been admitted for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionClass {
    /// Nothing yet.
    Entering,
    /// Any calls but those of a quorum.
    Guest,
    /// Messages of a quorum to which this instance belongs, and any other calls.
    Member,
}

/// The answer to a call's request for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call may run. If `closes` is set, that connection has lost its place and is to be closed.
    Admitted {
        /// The class of the connection from now on.
        class: ConnectionClass,
        /// The connection that gives way.
        closes: Option<ConnectionId>,
    },
    /// There is no place. The connection stays as it is, so that its next call needs no handshake.
    Refused,
}

/// One connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    class: ConnectionClass,
    /// Calls in progress.
    calls: usize,
    last_used: Instant,
}

/// Decides which connections from other instances are served.
///
/// The load that it answers: far more instances depend on a quorum than belong to it, and when the
/// quorum fails, all of them connect to each of its members at once, again and again. The members'
/// own connections have places of their own, which a connection takes by what it carries, since
/// no list of members is reliable while the quorum has failed. Whoever connects last can enter:
/// the oldest connection without a call makes way.
///
/// Holds a few numbers for each connection, within the limits.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    limits: AdmissionLimits,
    next_id: u64,
    connections: BTreeMap<ConnectionId, ConnectionEntry>,
}

impl AdmissionTable {
    /// Creates an empty table.
    pub fn open(limits: AdmissionLimits) -> Self {
        Self { limits, next_id: 0, connections: BTreeMap::new() }
    }

    /// Adds a connection that was accepted. Returns its id, and the connection that is to be closed
    /// for it.
    pub fn accept(&mut self, now: Instant) -> (ConnectionId, Option<ConnectionId>) {
        let is_full = self.count(ConnectionClass::Entering) >= self.limits.max_entering;
        let closes = is_full.then(|| self.oldest_entering()).flatten();
        if let Some(oldest) = closes {
            self.connections.remove(&oldest);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let entry = ConnectionEntry { class: ConnectionClass::Entering, calls: 0, last_used: now };
        self.connections.insert(id, entry);
        (id, closes)
    }

    /// Requests admission for a call, which is a message of a quorum or not. An admitted call ends
    /// with [`AdmissionTable::end_call`].
    pub fn begin_call(&mut self, now: Instant, id: ConnectionId, is_quorum: bool) -> Admission {
        let Some(entry) = self.connections.get(&id) else { return Admission::Refused };
        let admission = match entry.class {
            ConnectionClass::Member => Admission::Admitted { class: entry.class, closes: None },
            _ if is_quorum => self.find_place(now, ConnectionClass::Member),
            ConnectionClass::Guest => Admission::Admitted { class: entry.class, closes: None },
            ConnectionClass::Entering => self.find_place(now, ConnectionClass::Guest),
        };
        if let Admission::Admitted { class, closes } = admission {
            if let Some(idle) = closes {
                self.connections.remove(&idle);
            }
            self.update(id, |entry| {
                entry.class = class;
                entry.calls += 1;
                entry.last_used = now;
            });
        }
        admission
    }

    /// Records the end of an admitted call.
    pub fn end_call(&mut self, now: Instant, id: ConnectionId) {
        self.update(id, |entry| {
            entry.calls = entry.calls.saturating_sub(1);
            entry.last_used = now;
        });
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Number of connections of a class.
    pub fn count(&self, class: ConnectionClass) -> usize {
        self.connections.values().filter(|entry| entry.class == class).count()
    }

    /// A place among the connections of `class`: a free one, or that of the connection that has been
    /// idle for longest.
    fn find_place(&self, now: Instant, class: ConnectionClass) -> Admission {
        let limit = match class {
            ConnectionClass::Entering => self.limits.max_entering,
            ConnectionClass::Guest => self.limits.max_guests,
            ConnectionClass::Member => self.limits.max_members,
        };
        if self.count(class) < limit {
            return Admission::Admitted { class, closes: None };
        }
        let idle = self.connections.iter().filter(|(_, entry)| {
            entry.class == class
                && entry.calls == 0
                && now.duration_since(entry.last_used) >= self.limits.idle_time
        });
        match idle.min_by_key(|(_, entry)| entry.last_used) {
            Some((id, _)) => Admission::Admitted { class, closes: Some(*id) },
            None => Admission::Refused,
        }
    }

    fn oldest_entering(&self) -> Option<ConnectionId> {
        let mut entering =
            self.connections.iter().filter(|(_, entry)| entry.class == ConnectionClass::Entering);
        entering.next().map(|(id, _)| *id)
    }

    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut ConnectionEntry)) {
        if let Some(entry) = self.connections.get_mut(&id) {
            change(entry);
        }
    }
}
