//! A small world of three grantors and two candidates, explored step by step.

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
    /// Seconds that pass after the grantors' first wait.
    pub(crate) seconds: u32,
    /// Requests or answers that are lost on a link that works.
    pub(crate) losses: u32,
    /// Messages that arrive late, or late as well.
    pub(crate) late: u32,
    /// Links between a candidate and a grantor that fail for good.
    pub(crate) cuts: u32,
    /// Restarts of grantors.
    pub(crate) restarts: u32,
    /// Times that a candidate is frozen.
    pub(crate) freezes: u32,
    /// Candidates that give up the lease for good.
    pub(crate) releases: u32,
    /// True if the grantor set changes; everyone learns of it at any time, or never.
    pub(crate) changes: bool,
    /// The fault that is planted, if any.
    pub(crate) fault: Option<LeaseFault>,
}

/// A fault of this world's wrappers around the real grantors and holders.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum LeaseFault {
    /// A restarted grantor grants at once.
    NoRestartWait,
    /// A restarted grantor waits out the leases, but not the orders given under them.
    NoOrderWait,
    /// A grantor forgets its numbers whenever no grant runs.
    ForgetsNumbers,
    /// A holder acts for a second after its authority has ended.
    ActsTooLong,
    /// Two of three grantors are removed by one change.
    RemovesTwo,
}

/// A lease that was held.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct HeldLease {
    pub(crate) holder: usize,
    pub(crate) number: FencingNumber,
    pub(crate) began: MonotonicTime,
    pub(crate) ends: MonotonicTime,
    /// True once a grantor has restarted since.
    pub(crate) forgotten: bool,
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Mail {
    to: usize,
    from: usize,
    request: LeaseRequest,
    /// The answer that is on its way back.
    reply: Option<LeaseReply>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct LeaseWorld {
    bounds: WorldBounds,
    now: MonotonicTime,
    grantors: Vec<LeaseGrantor>,
    holders: Vec<LeaseHolder>,
    frozen: Option<usize>,
    /// Sent in this second.
    mail: BTreeSet<Mail>,
    /// Arrives at any time, or never.
    late: BTreeSet<Mail>,
    cut: BTreeSet<(usize, usize)>,
    losses: u32,
    delays: u32,
    restarts: u32,
    freezes: u32,
    releases: u32,
    /// Grantors, then candidates, that know the changed set.
    adopted: BTreeSet<usize>,
    /// The leases that were held, in order.
    pub(crate) leases: Vec<HeldLease>,
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
            mail: BTreeSet::new(),
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
        let places = (0..self.holders.len()).filter(|place| self.frozen != Some(*place));
        places.filter(|place| self.may_act(*place)).count()
    }

    /// Every world that may come next. Grantors don't depend on each other, so that the mail of a
    /// second is carried to one after the other, in any order for each.
    pub(crate) fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let first = self.mail.first().map(|mail| mail.to);
        for mail in self.mail.iter().filter(|mail| Some(mail.to) == first) {
            self.carry(mail, &mut next);
        }
        if !self.mail.is_empty() {
            return next;
        }
        for mail in &self.late {
            next.push(self.change(|world| world.arrive_late(mail)));
        }
        if self.elapsed() < self.bounds.seconds {
            next.push(self.change(Self::pass_second));
        }
        if self.restarts < self.bounds.restarts {
            // Grantors differ in name only, so that the first to restart may be the first one.
            let places = 0..self.grantors.len().min(self.restarts as usize + 1);
            next.extend(places.map(|place| self.change(|world| world.restart(place))));
        }
        if (self.cut.len() as u32) < self.bounds.cuts {
            let links = (0..6).map(|link| (link % 2, link / 2));
            next.extend(links.map(|link| self.change(|world| drop_link(world, link))));
        }
        if self.bounds.changes {
            let places = (0..5).filter(|place| !self.adopted.contains(place));
            next.extend(places.map(|place| self.change(|world| world.adopt(place))));
        }
        if self.releases < self.bounds.releases && self.frozen != Some(0) {
            next.push(self.change(Self::release));
        }
        match self.frozen {
            Some(place) => next.push(self.change(|world| world.wake(place))),
            // Candidates differ in name only as well.
            None if self.freezes < self.bounds.freezes => {
                next.push(self.change(|world| world.freeze(0)));
            }
            None => {}
        }
        next
    }

    /// Every fate of a message: answered, lost, its answer lost, and late or late as well.
    fn carry(&self, mail: &Mail, next: &mut Vec<Self>) {
        let mut taken = self.clone();
        taken.mail.remove(mail);
        if self.cut.contains(&(mail.from, mail.to)) {
            next.push(taken);
            return;
        }
        let mut answered = taken.clone();
        let reply = answered.answer(mail);
        let heard = answered.change(|world| world.hear(mail, &reply));
        next.push(heard.clone());
        if self.losses < self.bounds.losses {
            next.push(taken.change(|world| world.losses += 1));
            next.push(answered.change(|world| world.losses += 1));
        }
        if self.delays < self.bounds.late {
            let late_reply = Mail { reply: Some(reply), ..mail.clone() };
            next.push(taken.change(|world| world.delay(mail.clone())));
            next.push(heard.change(|world| world.delay(mail.clone())));
            next.push(answered.change(|world| world.delay(late_reply)));
        }
    }

    fn delay(&mut self, mail: Mail) {
        self.delays += 1;
        self.late.insert(mail);
    }

    fn arrive_late(&mut self, mail: &Mail) {
        self.late.remove(mail);
        match &mail.reply {
            Some(reply) => self.hear(mail, reply),
            None => {
                let reply = self.answer(mail);
                self.hear(mail, &reply);
            }
        }
    }

    fn hear(&mut self, mail: &Mail, reply: &LeaseReply) {
        if self.frozen != Some(mail.from) {
            let from = InstanceName::from(NAMES[mail.to]);
            self.step(mail.from, HolderInput::Reply { from, reply: reply.clone() });
        }
    }

    fn change(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut world = self.clone();
        change(&mut world);
        world
    }

    fn elapsed(&self) -> u32 {
        let start = MonotonicTime::default() + settings().restart_wait();
        (self.now - start).as_secs() as u32
    }

    fn may_act(&self, place: usize) -> bool {
        let holder = &self.holders[place];
        let last = self.leases.iter().rev().find(|lease| lease.holder == place);
        let overrun = self.bounds.fault == Some(LeaseFault::ActsTooLong)
            && last.is_some_and(|lease| self.now < lease.ends + SECOND);
        overrun || holder.authority(self.now).is_some()
    }

    fn answer(&mut self, mail: &Mail) -> LeaseReply {
        let grantor = &mut self.grantors[mail.to];
        let reply = grantor.answer(self.now, &mail.request);
        if self.bounds.fault == Some(LeaseFault::ForgetsNumbers) && reply.holder.is_none() {
            *grantor = LeaseGrantor::open(settings(), MonotonicTime::default());
            return grantor.answer(self.now, &mail.request);
        }
        reply
    }

    fn step(&mut self, place: usize, input: HolderInput) {
        for output in self.holders[place].step(self.now, input) {
            match output {
                HolderOutput::Send { to, request } => {
                    let to = NAMES.iter().position(|name| *name == to.as_str()).unwrap_or(0);
                    self.mail.insert(Mail { to, from: place, request, reply: None });
                }
                HolderOutput::Acquired(lease) => self.note(place, &lease),
                HolderOutput::Lost(number) => self.note_end(place, number),
            }
        }
        let authority = self.holders[place].authority(self.now);
        match (authority, self.leases.last_mut()) {
            (Some(authority), Some(lease)) if lease.holder == place => lease.ends = authority.ends,
            _ => {}
        }
    }

    fn note(&mut self, holder: usize, authority: &LeaseAuthority) {
        let LeaseAuthority { number, began, ends, .. } = *authority;
        self.leases.push(HeldLease { holder, number, began, ends, forgotten: false });
    }

    fn note_end(&mut self, holder: usize, number: FencingNumber) {
        let now = self.now;
        let held = |lease: &&mut HeldLease| lease.holder == holder && lease.number == number;
        if let Some(lease) = self.leases.iter_mut().rev().find(held) {
            lease.ends = lease.ends.min(now);
        }
    }

    fn pass_second(&mut self) {
        self.now = self.now + SECOND;
        for place in 0..self.holders.len() {
            if self.frozen != Some(place) {
                self.step(place, HolderInput::Tick);
            }
        }
    }

    fn freeze(&mut self, place: usize) {
        self.frozen = Some(place);
        self.freezes += 1;
    }

    fn wake(&mut self, place: usize) {
        self.frozen = None;
        self.step(place, HolderInput::Tick);
    }

    fn adopt(&mut self, place: usize) {
        self.adopted.insert(place);
        let removed = if self.bounds.fault == Some(LeaseFault::RemovesTwo) { 2 } else { 1 };
        let members = NAMES[removed..].iter().map(|name| InstanceName::from(*name)).collect();
        match place.checked_sub(self.grantors.len()) {
            None => self.grantors[place].adopt(2),
            Some(place) if self.frozen == Some(place) => {}
            Some(place) => {
                self.step(place, HolderInput::SetChanged(GrantorSet { epoch: 2, members }));
            }
        }
    }

    fn release(&mut self) {
        self.releases += 1;
        self.step(0, HolderInput::Release);
    }

    fn restart(&mut self, place: usize) {
        let (since, order_life) = match self.bounds.fault {
            Some(LeaseFault::NoRestartWait) => (MonotonicTime::default(), SECOND),
            Some(LeaseFault::NoOrderWait) => (self.now, Duration::ZERO),
            _ => (self.now, SECOND),
        };
        self.grantors[place] =
            LeaseGrantor::open(LeaseSettings { order_life, ..settings() }, since);
        self.restarts += 1;
        self.leases.iter_mut().for_each(|lease| lease.forgotten = true);
    }
}

fn drop_link(world: &mut LeaseWorld, link: (usize, usize)) {
    world.cut.insert(link);
}
