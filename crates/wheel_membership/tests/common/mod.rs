//! A data centre in virtual time, with a seeded lossy network.

#![allow(clippy::unwrap_used, dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wheel_membership::{
    InstanceAddress, ListedInstance, MemberInput, MemberMessage, MemberOutput, MemberSettings,
    MemberTable,
};
use wheel_types::{CentreName, IncarnationId, InstanceName, MonotonicTime};

pub(crate) const CENTRE: &str = "khon-kaen";

/// Bytes of frame and connection headers counted for each message.
pub(crate) const OVERHEAD_BYTES: u64 = 80;

pub(crate) fn address(centre: &str, index: usize) -> InstanceAddress {
    let socket = |port: usize| SocketAddr::from(([10, 0, 1, 7], port as u16));
    InstanceAddress {
        name: InstanceName::new(format!("{centre}-entry-{index:02}")),
        centre: CentreName::from(centre),
        peer: socket(7_000 + index),
        relay: socket(8_000 + index),
    }
}

pub(crate) struct TestCentre {
    pub(crate) now: MonotonicTime,
    pub(crate) nodes: Vec<Option<MemberTable>>,
    pub(crate) listed: Vec<ListedInstance>,
    /// Messages lost per thousand.
    pub(crate) loss_permille: u64,
    /// Members that can't reach the others and can't be reached by them.
    pub(crate) cut: Vec<usize>,
    /// Members that aren't stepped and whose messages wait.
    pub(crate) frozen: Vec<usize>,
    pub(crate) sent_bytes: Vec<u64>,
    pub(crate) view_changes: u64,
    pub(crate) full_tables: u64,
    ticks: Vec<Option<MonotonicTime>>,
    queue: BTreeMap<(MonotonicTime, u64), (usize, Box<MemberMessage>)>,
    sequence: u64,
    random: u64,
}

impl TestCentre {
    /// Starts `count` members that all have the platform's list.
    pub(crate) fn open(count: usize, seed: u64) -> Self {
        let list = |index| ListedInstance { address: address(CENTRE, index), leaving: false };
        let mut centre = Self {
            now: MonotonicTime::from_millis(1_000),
            nodes: vec![None; count],
            listed: (0..count).map(list).collect(),
            loss_permille: 0,
            cut: Vec::new(),
            frozen: Vec::new(),
            sent_bytes: vec![0; count],
            view_changes: 0,
            full_tables: 0,
            ticks: vec![None; count],
            queue: BTreeMap::new(),
            sequence: 0,
            random: seed,
        };
        for index in 0..count {
            centre.start(index, 1);
        }
        centre
    }

    pub(crate) fn start(&mut self, index: usize, incarnation: u64) {
        let seed = self.next_random();
        let table = MemberTable::open(
            MemberSettings::default(),
            address(CENTRE, index),
            IncarnationId(incarnation),
            self.now,
            seed,
        );
        self.nodes[index] = Some(table);
        self.input(index, MemberInput::Listed(self.listed.clone()));
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index] = None;
        self.ticks[index] = None;
    }

    pub(crate) fn input(&mut self, index: usize, input: MemberInput) {
        let Some(table) = &mut self.nodes[index] else { return };
        let outputs = table.step(self.now, input);
        self.ticks[index] = Some(table.next_tick());
        for output in outputs {
            match output {
                MemberOutput::Send { to, message } => self.send(index, &to, message),
                MemberOutput::ViewChanged => self.view_changes += 1,
                MemberOutput::TableFull(_) => self.full_tables += 1,
            }
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let ticks = self.ticks.iter().enumerate();
            let tick = ticks
                .filter(|(index, _)| !self.frozen.contains(index))
                .filter_map(|(index, tick)| Some(((*tick)?, index)))
                .min();
            let frozen = self.frozen.clone();
            let delivery = self.queue.iter().find(|(_, (to, _))| !frozen.contains(to));
            let delivery = delivery.map(|(key, _)| *key);
            match (tick, delivery) {
                (_, Some(key)) if key.0 <= end && tick.is_none_or(|tick| key.0 <= tick.0) => {
                    let (to, message) = self.queue.remove(&key).unwrap();
                    self.now = self.now.max(key.0);
                    self.input(to, MemberInput::Message(message));
                }
                (Some((time, index)), _) if time <= end => {
                    self.now = self.now.max(time);
                    self.input(index, MemberInput::Tick);
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// How many members the view of `index` shows.
    pub(crate) fn shown(&self, index: usize) -> usize {
        let view = self.nodes[index].as_ref().unwrap().view();
        view.centre(&CentreName::from(CENTRE)).len()
    }

    /// True if the view of each running member satisfies `check`.
    pub(crate) fn all(&self, check: impl Fn(&MemberTable) -> bool) -> bool {
        self.nodes.iter().flatten().all(check)
    }

    /// Runs until `check` holds for each running member; panics after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        check: impl Fn(&MemberTable) -> bool,
    ) -> Duration {
        let start = self.now;
        while !self.all(&check) {
            assert!(self.now - start < limit, "not reached within {limit:?}");
            self.run(Duration::from_millis(10));
        }
        self.now - start
    }

    fn send(&mut self, from: usize, to: &InstanceAddress, message: Box<MemberMessage>) {
        let bytes = postcard::to_stdvec(&message).unwrap().len() as u64;
        self.sent_bytes[from] += bytes + OVERHEAD_BYTES;
        let index = self.listed.iter().position(|listed| listed.address.name == to.name).unwrap();
        let lost = self.next_random() % 1_000 < self.loss_permille;
        if lost || self.cut.contains(&from) != self.cut.contains(&index) {
            return;
        }
        let delay = Duration::from_micros(500 + self.next_random() % 1_000);
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (index, message));
    }

    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) ^ self.random
    }
}
