//! A model world of three grantors and two candidates, explored step by step.

use std::collections::BTreeSet;
use std::time::Duration;

use wheel_lease::{
    GrantorSet, HolderId, HolderInput, HolderOutput, LeaseAuthority, LeaseGrantor, LeaseHolder,
    LeaseReply, LeaseRequest, LeaseSettings,
};
use wheel_types::{FencingNumber, IncarnationId, InstanceName, MonotonicTime};

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct WorldBounds {
    /// Seconds that pass after the grantors' restart wait.
    pub(crate) seconds: u32,
    /// Requests or replies that are lost on a working link.
    pub(crate) losses: u32,
    /// Messages that arrive late, or on time and a second time late.
    pub(crate) late: u32,
    /// Links between a candidate and a grantor that fail for good.
    pub(crate) cuts: u32,
    /// Restarts of grantors.
    pub(crate) restarts: u32,
    /// Times that a candidate is frozen.
    pub(crate) freezes: u32,
    /// Candidates that give up the lease for good.
    pub(crate) releases: u32,
    /// True if the grantor set changes; each participant learns of it at any time, or never.
    pub(crate) changes: bool,
    /// The injected fault, if any.
    pub(crate) fault: Option<LeaseFault>,
}

/// A fault that this world's wrappers inject around the production grantors and holders.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum LeaseFault {
    /// A restarted grantor grants at once.
    NoRestartWait,
    /// A restarted grantor waits for the leases to end, but not for the orders sent under them.
    NoOrderWait,
    /// A grantor forgets its numbers whenever no grant is in effect.
    ForgetsNumbers,
    /// A holder acts for a second after its authority has ended.
    ActsTooLong,
    /// Two of three grantors are removed by one change.
    RemovesTwo,
}

/// A lease that was held.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LeaseRecord {
    pub(crate) holder: usize,
    pub(crate) number: FencingNumber,
    pub(crate) began: MonotonicTime,
    pub(crate) ends: MonotonicTime,
    /// True once a grantor has restarted since.
    pub(crate) forgotten: bool,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Message {
    to: usize,
    from: usize,
    request: LeaseRequest,
    /// The reply in transit, if this is its way back.
    reply: Option<LeaseReply>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LeaseWorld {
    bounds: WorldBounds,
    now: MonotonicTime,
    grantors: Vec<LeaseGrantor>,
    holders: Vec<LeaseHolder>,
    frozen: Option<usize>,
    /// Messages sent in this second.
    messages: BTreeSet<Message>,
    /// Messages that arrive at any time, or never.
    late: BTreeSet<Message>,
    cut: BTreeSet<(usize, usize)>,
    losses: u32,
    delays: u32,
    restarts: u32,
    freezes: u32,
    releases: u32,
    /// Indexes of the participants that know the changed set: grantors first, then candidates.
    adopted: BTreeSet<usize>,
    /// The leases that were held, oldest first.
    pub(crate) leases: Vec<LeaseRecord>,
}

pub(crate) const SECOND: Duration = Duration::from_secs(1);
const NAMES: [&str; 3] = ["a", "b", "c"];

/// Term 2 s, order life 1 s, so that a restarted grantor waits 3 s.
pub(crate) fn settings() -> LeaseSettings {
    LeaseSettings {
        term: 2 * SECOND,
        longest_term: 2 * SECOND,
        margin: Duration::ZERO,
        order_life: SECOND,
        retry_spread: Duration::ZERO,
        gap_limit: SECOND,
    }
}

impl LeaseWorld {
    pub(crate) fn open(bounds: WorldBounds) -> Self {
        let now = MonotonicTime::default() + settings().restart_wait();
        let set = GrantorSet { epoch: 1, members: NAMES.map(InstanceName::from).into() };
        let open_holder = |name: &&str| {
            let instance = InstanceName::from(*name);
            let id = HolderId { instance, incarnation: IncarnationId(1) };
            LeaseHolder::open(settings(), id, set.clone(), now, 1)
        };
        Self {
            bounds,
            now,
            grantors: vec![LeaseGrantor::open(settings(), MonotonicTime::default()); 3],
            holders: NAMES[..2].iter().map(open_holder).collect(),
            frozen: None,
            messages: BTreeSet::new(),
            late: BTreeSet::new(),
            cut: BTreeSet::new(),
            losses: 0,
            delays: 0,
            restarts: 0,
            freezes: 0,
            releases: 0,
            adopted: BTreeSet::new(),
            leases: Vec::new(),
        }
    }

    /// How many holders may act now; a frozen one can't.
    pub(crate) fn acting(&self) -> usize {
        let indexes = (0..self.holders.len()).filter(|index| self.frozen != Some(*index));
        indexes.filter(|index| self.may_act(*index)).count()
    }

    /// Every possible next world. Grantors are independent of each other, so the messages of one
    /// second are delivered to one grantor after the other, in any order for each.
    pub(crate) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let first = self.messages.first().map(|message| message.to);
        for message in self.messages.iter().filter(|message| Some(message.to) == first) {
            self.deliver(message, &mut next);
        }
        if !self.messages.is_empty() {
            return next;
        }
        for message in &self.late {
            next.push(self.with_change(|world| world.deliver_late(message)));
        }
        if self.elapsed() < self.bounds.seconds {
            next.push(self.with_change(Self::pass_second));
        }
        if self.restarts < self.bounds.restarts {
            // Grantors differ in name only, so the first to restart may be the first one.
            let indexes = 0..self.grantors.len().min(self.restarts as usize + 1);
            next.extend(indexes.map(|index| self.with_change(|world| world.restart(index))));
        }
        if (self.cut.len() as u32) < self.bounds.cuts {
            let links = (0..6).map(|link| (link % 2, link / 2));
            next.extend(links.map(|link| self.with_change(|world| cut_link(world, link))));
        }
        if self.bounds.changes {
            let indexes = (0..5).filter(|index| !self.adopted.contains(index));
            next.extend(indexes.map(|index| self.with_change(|world| world.adopt(index))));
        }
        if self.releases < self.bounds.releases && self.frozen != Some(0) {
            next.push(self.with_change(Self::release));
        }
        match self.frozen {
            Some(index) => next.push(self.with_change(|world| world.unfreeze(index))),
            // Candidates differ in name only too.
            None if self.freezes < self.bounds.freezes => {
                next.push(self.with_change(|world| world.freeze(0)));
            }
            None => {}
        }
        next
    }

    /// Every outcome of a message: answered, lost, its reply lost, delayed, or answered and
    /// delivered again later.
    fn deliver(&self, message: &Message, next: &mut Vec<Self>) {
        let mut taken = self.clone();
        taken.messages.remove(message);
        if self.cut.contains(&(message.from, message.to)) {
            next.push(taken);
            return;
        }
        let mut answered = taken.clone();
        let reply = answered.answer(message);
        let received = answered.with_change(|world| world.receive(message, &reply));
        next.push(received.clone());
        if self.losses < self.bounds.losses {
            next.push(taken.with_change(|world| world.losses += 1));
            next.push(answered.with_change(|world| world.losses += 1));
        }
        if self.delays < self.bounds.late {
            let late_reply = Message { reply: Some(reply), ..message.clone() };
            next.push(taken.with_change(|world| world.delay(message.clone())));
            next.push(received.with_change(|world| world.delay(message.clone())));
            next.push(answered.with_change(|world| world.delay(late_reply)));
        }
    }

    fn delay(&mut self, message: Message) {
        self.delays += 1;
        self.late.insert(message);
    }

    fn deliver_late(&mut self, message: &Message) {
        self.late.remove(message);
        match &message.reply {
            Some(reply) => self.receive(message, reply),
            None => {
                let reply = self.answer(message);
                self.receive(message, &reply);
            }
        }
    }

    fn receive(&mut self, message: &Message, reply: &LeaseReply) {
        if self.frozen != Some(message.from) {
            let from = InstanceName::from(NAMES[message.to]);
            self.step(message.from, HolderInput::Reply { from, reply: reply.clone() });
        }
    }

    fn with_change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world
    }

    fn elapsed(&self) -> u32 {
        let start = MonotonicTime::default() + settings().restart_wait();
        (self.now - start).as_secs() as u32
    }

    fn may_act(&self, index: usize) -> bool {
        let holder = &self.holders[index];
        let last = self.leases.iter().rev().find(|lease| lease.holder == index);
        let overrun = self.bounds.fault == Some(LeaseFault::ActsTooLong)
            && last.is_some_and(|lease| self.now < lease.ends + SECOND);
        overrun || holder.authority(self.now).is_some()
    }

    fn answer(&mut self, message: &Message) -> LeaseReply {
        let grantor = &mut self.grantors[message.to];
        let reply = grantor.answer(self.now, &message.request);
        if self.bounds.fault == Some(LeaseFault::ForgetsNumbers) && reply.holder.is_none() {
            *grantor = LeaseGrantor::open(settings(), MonotonicTime::default());
            return grantor.answer(self.now, &message.request);
        }
        reply
    }

    fn step(&mut self, index: usize, input: HolderInput) {
        for output in self.holders[index].step(self.now, input) {
            match output {
                HolderOutput::Send { to, request } => {
                    let to = NAMES.iter().position(|name| *name == to.as_str()).unwrap_or(0);
                    self.messages.insert(Message { to, from: index, request, reply: None });
                }
                HolderOutput::Acquired(lease) => self.record_start(index, &lease),
                HolderOutput::Lost(number) => self.record_end(index, number),
            }
        }
        let authority = self.holders[index].authority(self.now);
        match (authority, self.leases.last_mut()) {
            (Some(authority), Some(lease)) if lease.holder == index => lease.ends = authority.ends,
            _ => {}
        }
    }

    fn record_start(&mut self, holder: usize, authority: &LeaseAuthority) {
        let LeaseAuthority { number, began, ends, .. } = *authority;
        self.leases.push(LeaseRecord { holder, number, began, ends, forgotten: false });
    }

    fn record_end(&mut self, holder: usize, number: FencingNumber) {
        let now = self.now;
        let held = |lease: &&mut LeaseRecord| lease.holder == holder && lease.number == number;
        if let Some(lease) = self.leases.iter_mut().rev().find(held) {
            lease.ends = lease.ends.min(now);
        }
    }

    fn pass_second(&mut self) {
        self.now = self.now + SECOND;
        for index in 0..self.holders.len() {
            if self.frozen != Some(index) {
                self.step(index, HolderInput::Tick);
            }
        }
    }

    fn freeze(&mut self, index: usize) {
        self.frozen = Some(index);
        self.freezes += 1;
    }

    fn unfreeze(&mut self, index: usize) {
        self.frozen = None;
        self.step(index, HolderInput::Tick);
    }

    fn adopt(&mut self, index: usize) {
        self.adopted.insert(index);
        let removed = if self.bounds.fault == Some(LeaseFault::RemovesTwo) { 2 } else { 1 };
        let members = NAMES[removed..].iter().map(|name| InstanceName::from(*name)).collect();
        match index.checked_sub(self.grantors.len()) {
            None => self.grantors[index].adopt(2),
            Some(index) if self.frozen == Some(index) => {}
            Some(index) => {
                self.step(index, HolderInput::SetChanged(GrantorSet { epoch: 2, members }));
            }
        }
    }

    fn release(&mut self) {
        self.releases += 1;
        self.step(0, HolderInput::Release);
    }

    fn restart(&mut self, index: usize) {
        let (since, order_life) = match self.bounds.fault {
            Some(LeaseFault::NoRestartWait) => (MonotonicTime::default(), SECOND),
            Some(LeaseFault::NoOrderWait) => (self.now, Duration::ZERO),
            _ => (self.now, SECOND),
        };
        self.grantors[index] =
            LeaseGrantor::open(LeaseSettings { order_life, ..settings() }, since);
        self.restarts += 1;
        self.leases.iter_mut().for_each(|lease| lease.forgotten = true);
    }
}

fn cut_link(world: &mut LeaseWorld, link: (usize, usize)) {
    world.cut.insert(link);
}
