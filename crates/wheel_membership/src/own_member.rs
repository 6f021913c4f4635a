//! This instance's own record.

use crate::{LiveMember, MemberRecord, MemberUpdate, UpdateKind};

/// This instance's own record, which only this instance changes.
#[derive(Clone, Debug)]
pub(crate) struct OwnMember {
    /// The record.
    pub(crate) record: MemberRecord,
    /// True after the instance announced its exit.
    pub(crate) left: bool,
}

impl OwnMember {
    pub(crate) fn new(record: MemberRecord) -> Self {
        Self { record, left: false }
    }

    /// Refutes a report of others on this instance, or supersedes an earlier incarnation. True if
    /// the record changed.
    pub(crate) fn refute(&mut self, update: &MemberUpdate) -> bool {
        let (incarnation, version, is_report) = match update {
            MemberUpdate::Alive(record) => (record.incarnation, record.version, false),
            MemberUpdate::Reported { incarnation, version, .. } => (*incarnation, *version, true),
        };
        let own = self.record.stamp();
        match (incarnation, version) {
            _ if self.left => return false,
            stamp if stamp < own || (stamp == own && !is_report) => return false,
            _ if incarnation > self.record.incarnation => {
                self.record.incarnation = incarnation.next();
                self.record.version = 0;
            }
            _ => self.record.version = version + 1,
        }
        true
    }

    /// Marks the instance as draining; true if it wasn't.
    pub(crate) fn drain(&mut self) -> bool {
        let changed = !self.record.leaving;
        self.record.leaving = true;
        self.record.version += u32::from(changed);
        changed
    }

    /// Marks the instance as gone.
    pub(crate) fn leave(&mut self) -> MemberUpdate {
        self.left = true;
        MemberUpdate::Reported {
            name: self.record.address.name.clone(),
            incarnation: self.record.incarnation,
            version: self.record.version,
            kind: UpdateKind::Left,
        }
    }

    /// How it appears in its own view.
    pub(crate) fn live(&self) -> LiveMember {
        LiveMember {
            address: self.record.address.clone(),
            incarnation: Some(self.record.incarnation),
            leaving: self.record.leaving,
            suspect: false,
        }
    }
}
