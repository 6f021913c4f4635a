//! Probes that wait for an answer.

use std::collections::VecDeque;

use wheel_types::{InstanceName, MonotonicTime};

/// This member's own probe and those that it makes for others.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// The probe of this period.
    pub(crate) open: Option<OpenProbe>,
    /// Probes made for others, oldest first.
    relayed: VecDeque<RelayedProbe>,
    last_nonce: u64,
}

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(crate) struct OpenProbe {
    /// The probed member.
    pub(crate) target: InstanceName,
    /// Its nonce.
    pub(crate) nonce: u64,
    /// When it was sent.
    pub(crate) sent: MonotonicTime,
    /// True once others were asked to probe.
    pub(crate) indirect: bool,
}

#[derive(Clone, Debug)]
struct RelayedProbe {
    nonce: u64,
    origin: InstanceName,
    origin_nonce: u64,
}

impl ProbeState {
    /// Maximum number of probes made for others at one time; the oldest is dropped, and its origin
    /// asks again.
    const MAX_RELAYED: usize = 64;

    /// A nonce that this member hasn't used.
    pub(crate) fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    /// Records a probe made for `origin` and returns its nonce.
    pub(crate) fn add_relayed(&mut self, origin: InstanceName, origin_nonce: u64) -> u64 {
        let nonce = self.next_nonce();
        if self.relayed.len() == Self::MAX_RELAYED {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe { nonce, origin, origin_nonce });
        nonce
    }

    /// Removes the probe that `nonce` answers, and returns its origin and the origin's nonce.
    pub(crate) fn take_relayed(&mut self, nonce: u64) -> Option<(InstanceName, u64)> {
        let index = self.relayed.iter().position(|probe| probe.nonce == nonce)?;
        let probe = self.relayed.remove(index)?;
        Some((probe.origin, probe.origin_nonce))
    }

    /// Ends the open probe if `nonce` answers it, and returns its target.
    pub(crate) fn take_answered(&mut self, nonce: u64) -> Option<InstanceName> {
        let answered = self.open.as_ref().is_some_and(|probe| probe.nonce == nonce);
        if !answered {
            return None;
        }
        self.open.take().map(|probe| probe.target)
    }
}
