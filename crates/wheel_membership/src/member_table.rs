//! The table of members.

use std::sync::Arc;

use wheel_types::{IncarnationId, InstanceName, MonotonicTime};

use crate::contact_list::ContactList;
use crate::member_entry::{MemberEntry, MemberPhase};
use crate::member_roster::MemberRoster;
use crate::own_member::OwnMember;
use crate::probe_state::{OpenProbe, ProbeState};
use crate::update_queue::UpdateQueue;
use crate::{
    InstanceAddress, ListedInstance, MemberInput, MemberMessage, MemberOutput, MemberRecord,
    MemberSettings, MemberUpdate, MemberView, MessageKind, UpdateKind,
};

/// Tracks which instances are live. The table of its data centre holds at most
/// [`MemberSettings::max_members`]; an instance beyond that is reported and ignored.
#[derive(Clone, Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    own: OwnMember,
    roster: MemberRoster,
    contacts: ContactList,
    updates: UpdateQueue,
    probes: ProbeState,
    next_probe: MonotonicTime,
    /// Until then, this member requests the tables of others and sends none.
    join_until: Option<MonotonicTime>,
    last_step: MonotonicTime,
    /// True if the view may have changed since it was built.
    changed: bool,
    view: Arc<MemberView>,
}

impl MemberTable {
    /// Opens the table of the instance at `address`. A restarted instance should have a higher
    /// `incarnation`; if it hasn't, it raises it as soon as another member mentions the old one.
    pub fn open(
        settings: MemberSettings,
        address: InstanceAddress,
        incarnation: IncarnationId,
        now: MonotonicTime,
        seed: u64,
    ) -> Self {
        let join_until = Some(now + settings.join_timeout);
        let record = MemberRecord { address, incarnation, version: 0, leaving: false };
        let mut table = Self {
            settings,
            own: OwnMember::new(record),
            roster: MemberRoster::new(seed),
            contacts: ContactList::default(),
            updates: UpdateQueue::default(),
            probes: ProbeState::default(),
            next_probe: now,
            join_until,
            last_step: now,
            changed: false,
            view: Arc::default(),
        };
        table.view = Arc::new(table.make_view(now));
        table
    }

    /// Advances the table.
    pub fn step(&mut self, now: MonotonicTime, input: MemberInput) -> Vec<MemberOutput> {
        let mut outputs = Vec::new();
        self.check_gap(now);
        match input {
            MemberInput::Tick => {}
            MemberInput::Message(message) => self.receive(now, *message, &mut outputs),
            MemberInput::Listed(list) => self.apply_list(now, list, &mut outputs),
            MemberInput::ContactFailed(name) => {
                self.contacts.mark_failed(name, now + self.settings.contact_retry);
                self.changed = true;
            }
            MemberInput::Drain if self.own.drain() => {
                self.announce_self(self.settings.leave_fanout, &mut outputs);
            }
            MemberInput::Drain => {}
            MemberInput::Leave => {
                let update = self.own.leave();
                self.announce(update, self.settings.leave_fanout, &mut outputs);
            }
        }
        if !self.own.left {
            self.advance(now, &mut outputs);
        }
        if self.changed {
            self.update_view(now, &mut outputs);
        }
        outputs
    }

    /// The live instances.
    pub fn view(&self) -> Arc<MemberView> {
        Arc::clone(&self.view)
    }

    /// This instance's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own.record
    }

    /// When [`MemberTable::step`] needs a [`MemberInput::Tick`] at the latest.
    pub fn next_tick(&self) -> MonotonicTime {
        let indirect = self.probes.open.as_ref().filter(|probe| !probe.indirect);
        let indirect = indirect.map(|probe| probe.sent + self.settings.ack_timeout);
        let suspicions = self.roster.next_suspicion_expiry();
        suspicions.into_iter().chain(indirect).fold(self.next_probe, MonotonicTime::min)
    }

    /// After a gap in the own steps, missing answers say nothing about other members.
    fn check_gap(&mut self, now: MonotonicTime) {
        if now.since(self.last_step) > self.settings.gap_limit {
            self.probes.open = None;
            self.next_probe = now;
            self.roster.restart_suspicions(now + self.settings.suspicion_time);
        }
        self.last_step = now;
    }

    fn receive(
        &mut self,
        now: MonotonicTime,
        message: MemberMessage,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let sender = message.sender;
        let name = sender.address.name.clone();
        if sender.address.centre != self.own.record.address.centre
            || name == self.own.record.address.name
        {
            return;
        }
        self.handle_sender(now, &sender, outputs);
        // The other members know the contents of a table already.
        let should_forward = message.kind != MessageKind::Table;
        for update in message.updates {
            self.handle_update(now, update, should_forward, outputs);
        }
        match message.kind {
            MessageKind::Probe { nonce } => {
                self.send(&sender.address, MessageKind::Ack { nonce }, outputs);
            }
            MessageKind::ProbeFor { nonce, target } => {
                if let Some(address) = self.roster.address(&target) {
                    let nonce = self.probes.add_relayed(name, nonce);
                    self.send(&address, MessageKind::Probe { nonce }, outputs);
                }
            }
            MessageKind::Ack { nonce } => {
                self.probes.take_answered(nonce);
                self.forward_ack(nonce, outputs);
            }
            MessageKind::Join { nonce } => {
                self.send(&sender.address, MessageKind::Ack { nonce }, outputs);
                if self.join_until.is_none() {
                    self.send_table(&sender.address, outputs);
                }
            }
            MessageKind::Table => self.join_until = None,
            MessageKind::Notice => {}
        }
    }

    /// Applies the sender's record. A sender whose incarnation is lower than its last one is
    /// notified.
    fn handle_sender(
        &mut self,
        now: MonotonicTime,
        sender: &MemberRecord,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let name = &sender.address.name;
        let before = self.roster.members.get(name);
        let superseded = before.filter(|entry| entry.record.incarnation > sender.incarnation);
        let superseded = superseded.and_then(MemberEntry::update);
        self.handle_update(now, MemberUpdate::Alive(sender.clone()), true, outputs);
        if let Some(update) = superseded {
            self.send_updates(&sender.address, MessageKind::Notice, vec![update], outputs);
        }
    }

    /// Sends the whole table in messages of limited size.
    fn send_table(&self, to: &InstanceAddress, outputs: &mut Vec<MemberOutput>) {
        let others = self.roster.members.iter().filter(|(name, _)| **name != to.name);
        let updates: Vec<_> = others.filter_map(|(_, entry)| entry.update()).collect();
        for chunk in updates.chunks(self.settings.max_updates) {
            self.send_updates(to, MessageKind::Table, chunk.to_vec(), outputs);
        }
    }

    fn send_updates(
        &self,
        to: &InstanceAddress,
        kind: MessageKind,
        updates: Vec<MemberUpdate>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let message = Box::new(MemberMessage { sender: self.own.record.clone(), kind, updates });
        outputs.push(MemberOutput::Send { to: to.clone(), message });
    }

    /// Forwards an acknowledgement to the member that requested the probe.
    fn forward_ack(&mut self, nonce: u64, outputs: &mut Vec<MemberOutput>) {
        let Some((origin, nonce)) = self.probes.take_relayed(nonce) else { return };
        if let Some(address) = self.roster.address(&origin) {
            self.send(&address, MessageKind::Ack { nonce }, outputs);
        }
    }

    /// Applies an update of one member, and queues it if it is new to this member and to others.
    fn handle_update(
        &mut self,
        now: MonotonicTime,
        update: MemberUpdate,
        should_forward: bool,
        outputs: &mut Vec<MemberOutput>,
    ) {
        if update.name() == &self.own.record.address.name {
            if self.own.refute(&update) {
                self.announce_self(self.settings.notice_fanout, outputs);
            }
            return;
        }
        if let MemberUpdate::Alive(record) = &update {
            self.add_member(now, record, outputs);
        }
        let Some(entry) = self.roster.members.get_mut(update.name()) else { return };
        let changed = match &update {
            MemberUpdate::Alive(record) => entry.apply_alive(now, record, &self.settings),
            MemberUpdate::Reported { incarnation, version, kind, .. } => {
                entry.apply_report(now, (*incarnation, *version), *kind, &self.settings)
            }
        };
        self.changed |= changed;
        if changed && should_forward {
            self.queue_update(update);
        }
    }

    /// Adds an unknown instance.
    fn add_member(
        &mut self,
        now: MonotonicTime,
        record: &MemberRecord,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let name = &record.address.name;
        let own_centre = record.address.centre == self.own.record.address.centre;
        if !own_centre || self.roster.members.contains_key(name) || !self.has_room(name, outputs) {
            return;
        }
        self.roster.members.insert(name.clone(), MemberEntry::unconfirmed(record.clone(), now));
    }

    fn has_room(&self, name: &InstanceName, outputs: &mut Vec<MemberOutput>) -> bool {
        // This instance itself counts as a member.
        let room = self.roster.members.len() + 1 < self.settings.max_members;
        if !room {
            outputs.push(MemberOutput::TableFull(name.clone()));
        }
        room
    }

    fn apply_list(
        &mut self,
        now: MonotonicTime,
        list: Vec<ListedInstance>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        self.roster.members.values_mut().for_each(|entry| entry.listed = false);
        let mut remote = Vec::new();
        for listed in list {
            let name = listed.address.name.clone();
            match listed.address.centre == self.own.record.address.centre {
                true if name == self.own.record.address.name => {}
                true => self.apply_listed(now, listed, outputs),
                false if remote.len() < self.settings.max_remote => remote.push(listed),
                false => outputs.push(MemberOutput::TableFull(name)),
            }
        }
        self.contacts.replace(now, remote);
        self.changed = true;
    }

    fn apply_listed(
        &mut self,
        now: MonotonicTime,
        listed: ListedInstance,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let name = listed.address.name.clone();
        if !self.roster.members.contains_key(&name) {
            if !self.has_room(&name, outputs) {
                return;
            }
            self.roster
                .members
                .insert(name.clone(), MemberEntry::listed(listed.address.clone(), now));
        }
        let Some(entry) = self.roster.members.get_mut(&name) else { return };
        entry.listed = true;
        if entry.phase == MemberPhase::Unconfirmed {
            entry.record.address = listed.address;
        }
        entry.listed_leaving = match listed.leaving {
            true => entry.listed_leaving.or(Some(entry.record.incarnation)),
            false => None,
        };
    }

    /// Queues an update for the next messages.
    fn queue_update(&mut self, update: MemberUpdate) {
        self.updates.push(update);
        self.changed = true;
    }

    fn announce_self(&mut self, fanout: usize, outputs: &mut Vec<MemberOutput>) {
        self.announce(MemberUpdate::Alive(self.own.record.clone()), fanout, outputs);
    }

    /// Announces a change of this instance at once.
    fn announce(&mut self, update: MemberUpdate, fanout: usize, outputs: &mut Vec<MemberOutput>) {
        for address in self.roster.pick(fanout, MemberEntry::is_active) {
            self.send_updates(&address, MessageKind::Notice, vec![update.clone()], outputs);
        }
        self.queue_update(update);
    }

    fn advance(&mut self, now: MonotonicTime, outputs: &mut Vec<MemberOutput>) {
        for update in self.roster.expire_suspicions(now, &self.settings) {
            self.queue_update(update);
        }
        self.probe_indirectly(now, outputs);
        if now >= self.next_probe {
            self.end_probe(now);
            self.roster.remove_gone(now, self.settings.forget_after);
            self.changed = true;
            self.request_tables(now, outputs);
            self.start_probe(now, outputs);
        }
    }

    /// Requests the table of listed members, until one sends it or all have answered.
    fn request_tables(&mut self, now: MonotonicTime, outputs: &mut Vec<MemberOutput>) {
        let unconfirmed = |entry: &MemberEntry| entry.phase == MemberPhase::Unconfirmed;
        self.join_until = self.join_until.filter(|until| now < *until);
        if self.join_until.is_none() {
            return;
        }
        for address in self.roster.pick(self.settings.join_fanout, unconfirmed) {
            let nonce = self.probes.next_nonce();
            self.send(&address, MessageKind::Join { nonce }, outputs);
        }
    }

    fn probe_indirectly(&mut self, now: MonotonicTime, outputs: &mut Vec<MemberOutput>) {
        let Some(probe) = &mut self.probes.open else { return };
        if probe.indirect || now < probe.sent + self.settings.ack_timeout {
            return;
        }
        probe.indirect = true;
        let (nonce, target) = (probe.nonce, probe.target.clone());
        let Some(address) = self.roster.address(&target) else { return };
        self.send(&address, MessageKind::Probe { nonce }, outputs);
        let is_helper =
            |entry: &MemberEntry| entry.is_active() && entry.record.address.name != target;
        for address in self.roster.pick(self.settings.indirect_probes, is_helper) {
            let kind = MessageKind::ProbeFor { nonce, target: target.clone() };
            self.send(&address, kind, outputs);
        }
    }

    /// Suspects the member whose probe of the last period has no answer.
    fn end_probe(&mut self, now: MonotonicTime) {
        let Some(probe) = self.probes.open.take() else { return };
        let Some(entry) = self.roster.members.get_mut(&probe.target) else { return };
        let stamp = entry.record.stamp();
        if entry.apply_report(now, stamp, UpdateKind::Suspect, &self.settings) {
            let update = entry.update();
            update.into_iter().for_each(|update| self.queue_update(update));
        }
    }

    fn start_probe(&mut self, now: MonotonicTime, outputs: &mut Vec<MemberOutput>) {
        self.next_probe = now + self.settings.probe_period;
        let Some(target) = self.roster.next_target() else { return };
        let Some(address) = self.roster.address(&target) else { return };
        let nonce = self.probes.next_nonce();
        self.send(&address, MessageKind::Probe { nonce }, outputs);
        self.probes.open = Some(OpenProbe { target, nonce, sent: now, indirect: false });
    }

    fn send(&mut self, to: &InstanceAddress, kind: MessageKind, outputs: &mut Vec<MemberOutput>) {
        let max_sends = UpdateQueue::max_sends(self.roster.members.len());
        let mut updates = self.updates.take(self.settings.max_updates, max_sends);
        let entry = self.roster.members.get(&to.name);
        // A receiver considered dead or suspect learns it with every message, so that it can
        // refute it.
        let report = entry.filter(|entry| entry.phase != MemberPhase::Alive);
        let report = report.and_then(MemberEntry::update);
        updates.retain(|item| item.name() != &to.name || report.is_none());
        updates.extend(report);
        let message = Box::new(MemberMessage { sender: self.own.record.clone(), kind, updates });
        outputs.push(MemberOutput::Send { to: to.clone(), message });
    }

    fn update_view(&mut self, now: MonotonicTime, outputs: &mut Vec<MemberOutput>) {
        self.changed = false;
        let view = self.make_view(now);
        if view != *self.view {
            self.view = Arc::new(view);
            outputs.push(MemberOutput::ViewChanged);
        }
    }

    fn make_view(&self, now: MonotonicTime) -> MemberView {
        let others = self.roster.members.values().filter_map(|entry| entry.live(now));
        let mut members: Vec<_> = others.chain([self.own.live()]).collect();
        members.sort_by(|one, other| one.address.name.cmp(&other.address.name));
        let mut view = MemberView::default();
        view.centres.insert(self.own.record.address.centre.clone(), members);
        let name = &self.own.record.address.name;
        self.contacts.add_contacts(now, name, self.settings.contacts, &mut view);
        view
    }
}
